package org.cranberrystand.pgm.load;

import com.google.common.base.Strings;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;

/** Sends requests and retries them by the rules for callers. Safe for use by several threads. */
final class RequestSender {
  /** Outcome of a request that received a complete answer. */
  static final String ANSWERED = "answered";

  private static final String INCOMPLETE_ANSWER = "incomplete-answer";

  private final HttpClient http;
  private final FleetDirectory directory;
  private final LoadOptions options;
  private final Duration timeout;

  RequestSender(HttpClient http, FleetDirectory directory, LoadOptions options) {
    this.http = http;
    this.directory = directory;
    this.options = options;
    this.timeout = options.duration().plus(options.grace());
  }

  void send(ArrivalPlan.Arrival arrival, LoadRunner.Recorder recorder) {
    new PendingRequest(arrival, recorder).start();
  }

  /** One request and the state of its attempts. */
  private final class PendingRequest {
    private final RequestClass requestClass;
    private final LoadRunner.Recorder recorder;
    private final byte[] body;
    private String identifier;
    private int attempts;
    private boolean possiblySent;

    PendingRequest(ArrivalPlan.Arrival arrival, LoadRunner.Recorder recorder) {
      this.requestClass = arrival.requestClass();
      this.recorder = recorder;
      this.body = createBody(arrival);
    }

    void start() {
      if (requestClass.isRepeatable()) {
        attempt();
        return;
      }
      onCompletion(
          directory.nextIdentifier(),
          recorder,
          (newIdentifier, failure) -> {
            if (failure != null) {
              recorder.recordEnd("no-identifier");
            } else {
              identifier = newIdentifier;
              attempt();
            }
          });
    }

    private void attempt() {
      attempts++;
      onCompletion(
          chooseAddress(),
          recorder,
          (address, failure) -> {
            if (failure != null) {
              recorder.recordEnd("no-address");
            } else {
              send(address);
            }
          });
    }

    /**
     * Returns the address for the next attempt: the issuer of the identifier if the request cannot
     * have been sent yet, because it handles it without a forward, and any node otherwise.
     */
    private CompletableFuture<String> chooseAddress() {
      return identifier == null || possiblySent
          ? directory.nextAddress()
          : directory.issuerAddress(identifier);
    }

    private void send(String address) {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(
                  URI.create("http://" + address + "/v1/requests/" + requestClass.kind()))
              .timeout(timeout)
              .header(ApiHeaders.SHOP, requestClass.shop())
              .header("Content-Type", "application/json")
              .POST(HttpRequest.BodyPublishers.ofByteArray(body));
      if (identifier != null) {
        request.header(ApiHeaders.IDEMPOTENCY_KEY, identifier);
      }
      AnswerReader reader = new AnswerReader(requestClass.isStreaming(), recorder);
      CompletableFuture<HttpResponse<Void>> response =
          http.sendAsync(
              request.build(),
              info -> {
                reader.setStatus(info.statusCode());
                return HttpResponse.BodySubscribers.ofByteArrayConsumer(
                    chunk -> chunk.ifPresent(reader::accept));
              });
      onCompletion(response, recorder, (head, failure) -> handleEnd(reader, failure));
    }

    private void handleEnd(AnswerReader reader, Throwable failure) {
      if (failure == null && reader.isComplete()) {
        recorder.recordEnd(ANSWERED);
      } else if (failure == null && reader.status() != 200) {
        apply(RetryDecision.afterProblem(requestClass, reader.status(), reader.problemBody()));
      } else if (reader.tokens() > 0) {
        // A retry would compute the answer twice. A shop would fetch the rest by reference instead.
        recorder.recordEnd(INCOMPLETE_ANSWER);
      } else {
        directory.invalidateAddresses();
        apply(decideAfterFailure(failure));
      }
    }

    private RetryDecision decideAfterFailure(Throwable failure) {
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      boolean connected =
          !(cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException);
      if (!connected && !possiblySent && identifier != null) {
        directory.invalidateIssuer(identifier);
        return RetryDecision.afterFailedConnection();
      }
      possiblySent |= connected;
      return RetryDecision.afterBrokenConnection(requestClass);
    }

    private void apply(RetryDecision decision) {
      if (decision.action() == RetryDecision.Action.STOP || attempts >= options.maxAttempts()) {
        recorder.recordEnd(decision.outcome());
        return;
      }
      recorder.recordRetry();
      if (decision.identifier() != null) {
        identifier = decision.identifier();
      }
      boolean needsIdentifier =
          decision.action() == RetryDecision.Action.RETRY_WITH_NEW_IDENTIFIER
              && !requestClass.isRepeatable();
      Runnable next = needsIdentifier ? this::start : this::attempt;
      CompletableFuture.delayedExecutor(decision.delayMillis(), TimeUnit.MILLISECONDS)
          .execute(next);
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored") // The callback receives every failure.
  private static <T> void onCompletion(
      CompletableFuture<T> future, LoadRunner.Recorder recorder, BiConsumer<T, Throwable> next) {
    future.whenComplete(
        (value, failure) -> {
          try {
            next.accept(value, failure);
          } catch (RuntimeException e) {
            recorder.recordEnd("client-failure");
          }
        });
  }

  /** Creates the request body, which depends only on the seed and the index of the arrival. */
  private byte[] createBody(ArrivalPlan.Arrival arrival) {
    RequestClass requestClass = arrival.requestClass();
    SplittableRandom random = new SplittableRandom(options.seed() * 31 + arrival.index());
    String uniquePrefix = Long.toHexString(random.nextLong());
    if (!requestClass.isStreaming()) {
      return ("{\"item\":\"" + uniquePrefix + "\"}").getBytes(StandardCharsets.UTF_8);
    }
    // The length is uniform between 0.5 and 1.5 times the mean.
    int length = (int) (requestClass.promptChars() * (0.5 + random.nextDouble()));
    String prompt =
        uniquePrefix + Strings.repeat(" cane", Math.max(0, (length - uniquePrefix.length()) / 5));
    return Json.toBytes(new CompletionBody(prompt, requestClass.maxTokens(), true));
  }

  /**
   * Request body of a completion.
   *
   * @param prompt the prompt
   * @param maxTokens the limit of the output in tokens
   * @param stream whether the answer is streamed
   */
  private record CompletionBody(
      String prompt,
      @com.fasterxml.jackson.annotation.JsonProperty("max_tokens") int maxTokens,
      boolean stream) {}
}
