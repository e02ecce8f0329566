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

/**
 * Sends requests, and sends them again by the rules for callers. Safe for use by several threads.
 */
final class RequestSender {
  /** Outcome of a request with a complete answer. */
  static final String ANSWERED = "answered";

  private static final String INCOMPLETE = "incomplete-answer";

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
    new Sending(arrival, recorder).start();
  }

  /** One request with all its attempts. */
  private final class Sending {
    private final RequestClass requestClass;
    private final LoadRunner.Recorder recorder;
    private final byte[] body;
    private String identifier;
    private int attempts;
    private boolean perhapsSent;

    Sending(ArrivalPlan.Arrival arrival, LoadRunner.Recorder recorder) {
      this.requestClass = arrival.requestClass();
      this.recorder = recorder;
      this.body = content(arrival);
    }

    void start() {
      if (requestClass.isRepeatable()) {
        attempt();
        return;
      }
      then(
          directory.nextIdentifier(),
          recorder,
          (fresh, failure) -> {
            if (failure != null) {
              recorder.ended("no-identifier");
            } else {
              identifier = fresh;
              attempt();
            }
          });
    }

    private void attempt() {
      attempts++;
      then(
          firstToIssuer(),
          recorder,
          (address, failure) -> {
            if (failure != null) {
              recorder.ended("no-address");
            } else {
              send(address);
            }
          });
    }

    /**
     * Any node can take an identifier that was sent before; its issuer takes it without forward.
     */
    private CompletableFuture<String> firstToIssuer() {
      return identifier == null || perhapsSent
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
                reader.begin(info.statusCode());
                return HttpResponse.BodySubscribers.ofByteArrayConsumer(
                    chunk -> chunk.ifPresent(reader::accept));
              });
      then(response, recorder, (head, failure) -> ended(reader, failure));
    }

    private void ended(AnswerReader reader, Throwable failure) {
      if (failure == null && reader.isComplete()) {
        recorder.ended(ANSWERED);
      } else if (failure == null && reader.status() != 200) {
        follow(ResendRule.afterProblem(requestClass, reader.status(), reader.problem()));
      } else if (reader.tokens() > 0) {
        // Sending again would compute the answer twice; a shop would fetch the rest by reference.
        recorder.ended(INCOMPLETE);
      } else {
        directory.forgetAddresses();
        follow(afterFailure(failure));
      }
    }

    private ResendRule afterFailure(Throwable failure) {
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      boolean connected =
          !(cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException);
      if (!connected && !perhapsSent && identifier != null) {
        directory.forgetIssuer(identifier);
        return ResendRule.afterFailedConnection();
      }
      perhapsSent |= connected;
      return ResendRule.afterBrokenConnection(requestClass);
    }

    private void follow(ResendRule rule) {
      if (rule.action() == ResendRule.Action.STOP || attempts >= options.maxAttempts()) {
        recorder.ended(rule.outcome());
        return;
      }
      recorder.resent();
      if (rule.identifier() != null) {
        identifier = rule.identifier();
      }
      boolean fresh =
          rule.action() == ResendRule.Action.FRESH_IDENTIFIER && !requestClass.isRepeatable();
      Runnable next = fresh ? this::start : this::attempt;
      CompletableFuture.delayedExecutor(rule.delayMillis(), TimeUnit.MILLISECONDS).execute(next);
    }
  }

  @SuppressWarnings("FutureReturnValueIgnored") // The callback gets every failure.
  private static <T> void then(
      CompletableFuture<T> future, LoadRunner.Recorder recorder, BiConsumer<T, Throwable> next) {
    future.whenComplete(
        (value, failure) -> {
          try {
            next.accept(value, failure);
          } catch (RuntimeException e) {
            recorder.ended("client-failure");
          }
        });
  }

  /** Content depends on the seed and the number of the arrival only. */
  private byte[] content(ArrivalPlan.Arrival arrival) {
    RequestClass requestClass = arrival.requestClass();
    SplittableRandom random = new SplittableRandom(options.seed() * 31 + arrival.number());
    String marker = Long.toHexString(random.nextLong());
    if (!requestClass.isStreaming()) {
      return ("{\"item\":\"" + marker + "\"}").getBytes(StandardCharsets.UTF_8);
    }
    // Lengths vary from half to one and a half of the mean.
    int length = (int) (requestClass.promptChars() * (0.5 + random.nextDouble()));
    String prompt = marker + Strings.repeat(" cane", Math.max(0, (length - marker.length()) / 5));
    return Json.toBytes(new Completion(prompt, requestClass.maxTokens(), true));
  }

  /**
   * Body of a request to a model.
   *
   * @param prompt the prompt
   * @param maxTokens the limit of the output
   * @param stream whether the answer is streamed
   */
  private record Completion(
      String prompt,
      @com.fasterxml.jackson.annotation.JsonProperty("max_tokens") int maxTokens,
      boolean stream) {}
}
