package org.cranberrystand.daemon.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.UpstreamPool;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.identity.LedgerEntry;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.RecordedAnswer;
import org.cranberrystand.outcome.UnknownCause;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;
import ratpack.http.client.StreamedResponse;
import ratpack.stream.TransformablePublisher;

/**
 * Runs claimed requests: submits them to the scheduler, sends them upstream and relays the answer.
 *
 * <p>Safe for use by several threads.
 */
public final class RequestRunner implements AutoCloseable {
  private static final int CHARS_PER_TOKEN = 4;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NOT_READY_RETRY_MILLIS = 1_000;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final byte[] END_OF_STREAM = "data: [DONE]".getBytes(StandardCharsets.UTF_8);

  private final NodeState state;
  private final SchedulerLoop scheduler;
  private final EventLog log;
  private final HttpClient client;

  /**
   * Creates a runner.
   *
   * @param state the state of the node
   * @param scheduler decides where requests go
   * @param log receives failures of upstreams
   * @throws Exception if the client cannot be created
   */
  public RequestRunner(NodeState state, SchedulerLoop scheduler, EventLog log) throws Exception {
    this.state = state;
    this.scheduler = scheduler;
    this.log = log;
    Duration timeout = Duration.ofMillis(state.settings().limits().upstreamTimeoutMillis());
    this.client =
        HttpClient.of(
            spec ->
                spec.useJdkAddressResolver().connectTimeout(CONNECT_TIMEOUT).readTimeout(timeout));
  }

  @Override
  public void close() {
    client.close();
  }

  /**
   * Runs a request and answers its caller.
   *
   * @param ctx the exchange with the caller
   * @param request the request
   * @param entry the claimed entry of its identifier
   * @param contentDigest the digest of kind and body
   */
  void run(Context ctx, IncomingRequest request, LedgerEntry entry, String contentDigest) {
    long now = state.clock().nowNanos();
    WorkItem item = workItem(request, contentDigest, now);
    DecisionSlot slot = new DecisionSlot();
    Exchange exchange = new Exchange(ctx, request, entry, item, slot);
    slot.await(() -> scheduler.submit(item, now, slot::offer, () -> {})).then(exchange::carryOut);
  }

  private static WorkItem workItem(IncomingRequest request, String contentDigest, long now) {
    int promptTokens = 0;
    int maxTokens = 0;
    if (request.poolType().isStreaming()) {
      promptTokens = request.body().bytes().length / CHARS_PER_TOKEN + 1;
      maxTokens = maxTokens(request.body().bytes());
    }
    return WorkItem.builder(request.id().sequence(), request.kind())
        .shop(request.shop().name(), request.shop().team())
        .tokens(promptTokens, maxTokens)
        .contentDigest(contentDigest)
        .times(now, now + request.deadlineMillis() * NANOS_PER_MILLI)
        .build();
  }

  private static int maxTokens(byte[] body) {
    try {
      JsonNode tree = Json.readTree(body);
      return tree.path("max_tokens").asInt(0);
    } catch (IOException e) {
      return 0;
    }
  }

  /** One request on its way to an upstream and back. Confined to the execution of its caller. */
  private final class Exchange {
    private final Context ctx;
    private final IncomingRequest request;
    private final LedgerEntry entry;
    private final WorkItem item;
    private final DecisionSlot slot;

    Exchange(
        Context ctx, IncomingRequest request, LedgerEntry entry, WorkItem item, DecisionSlot slot) {
      this.ctx = ctx;
      this.request = request;
      this.entry = entry;
      this.item = item;
      this.slot = slot;
    }

    void carryOut(Decision decision) {
      if (decision instanceof Decision.Send && !state.readiness().mayDispatch()) {
        scheduler.end(
            item.key(), new SchedulerEvent.CallerGone(item.key(), state.clock().nowNanos()));
        end(new Outcome.NotRun(NotRunReason.NOT_READY, NOT_READY_RETRY_MILLIS));
      } else if (decision instanceof Decision.Send send) {
        ctx.getResponse().getHeaders().set(ApiHeaders.UPSTREAM, send.upstream().name());
        if (request.poolType().isStreaming()) {
          stream(send.upstream());
        } else {
          call(send.upstream());
        }
      } else if (decision instanceof Decision.Decline decline) {
        end(new Outcome.NotRun(decline.reason(), decline.retryAfterMillis()));
      }
    }

    private void call(UpstreamRecord upstream) {
      URI uri = URI.create("http://" + upstream.address() + "/v1/" + request.kind().name());
      client
          .request(uri, this::fill)
          .onError(this::failed)
          .then(response -> received(upstream, response));
    }

    private void received(UpstreamRecord upstream, ReceivedResponse response) {
      if (isRefusal(
          upstream, response.getStatusCode(), response.getHeaders().get(ApiHeaders.NOT_RUN))) {
        noteRefusal(upstream, response.getStatusCode());
        refused(true);
        return;
      }
      if (response.getStatusCode() >= 500) {
        finished(false);
        end(
            new Outcome.UpstreamFailed(
                response.getStatusCode(), "upstream answered with an error"));
        return;
      }
      finished(true);
      String type = response.getHeaders().get("Content-Type");
      end(
          new Outcome.Answered(
              new RecordedAnswer(
                  response.getStatusCode(),
                  ImmutableMap.of("Content-Type", type == null ? "application/octet-stream" : type),
                  response.getBody().getBytes())));
    }

    private void stream(UpstreamRecord upstream) {
      URI uri = URI.create("http://" + upstream.address() + "/v1/completions");
      client
          .requestStream(uri, this::fill)
          .onError(this::failed)
          .then(response -> relay(upstream, response));
    }

    private void relay(UpstreamRecord upstream, StreamedResponse response) {
      if (response.getStatusCode() != 200) {
        response.getBody().toList().then(ignored -> rejectedStream(upstream, response));
        return;
      }
      scheduler.feed(new SchedulerEvent.Started(item.key(), state.clock().nowNanos()));
      ByteArrayOutputStream recorded = new ByteArrayOutputStream();
      ctx.getResponse().getHeaders().set(ApiHeaders.OUTCOME, "answered");
      ctx.getResponse().contentType(ApiHeaders.EVENT_STREAM);
      TransformablePublisher<ByteBuf> body =
          response
              .getBody()
              .wiretap(
                  event -> {
                    if (event.isData()) {
                      record(event.getItem(), recorded);
                    } else if (!event.isRequest()) {
                      streamEnded(recorded.toByteArray());
                    }
                  });
      ctx.getResponse().sendStream(body);
    }

    private void rejectedStream(UpstreamRecord upstream, StreamedResponse response) {
      String notRun = response.getHeaders().get(ApiHeaders.NOT_RUN);
      if (isRefusal(upstream, response.getStatusCode(), notRun)) {
        noteRefusal(upstream, response.getStatusCode());
        refused(true);
      } else {
        finished(false);
        end(
            new Outcome.UpstreamFailed(
                response.getStatusCode(), "upstream answered with an error"));
      }
    }

    private void record(ByteBuf chunk, ByteArrayOutputStream recorded) {
      byte[] bytes = new byte[chunk.readableBytes()];
      chunk.getBytes(chunk.readerIndex(), bytes);
      recorded.writeBytes(bytes);
      scheduler.feed(new SchedulerEvent.TokensProduced(item.key(), 1, state.clock().nowNanos()));
    }

    private void streamEnded(byte[] recorded) {
      boolean complete =
          new String(recorded, StandardCharsets.UTF_8)
              .contains(new String(END_OF_STREAM, StandardCharsets.UTF_8));
      finished(complete);
      Outcome outcome =
          complete
              ? new Outcome.Answered(
                  new RecordedAnswer(
                      200, ImmutableMap.of("Content-Type", ApiHeaders.EVENT_STREAM), recorded))
              : new Outcome.UpstreamFailed(0, "the answer broke off");
      state.ledger().complete(entry, outcome);
    }

    private void fill(RequestSpec spec) throws Exception {
      spec.post()
          .body(body -> body.type("application/json").bytes(request.body().bytes()))
          .headers(
              headers ->
                  headers.set(
                      ApiHeaders.UPSTREAM_REQUEST_ID, state.idCodec().encode(request.id())));
    }

    private void failed(Throwable cause) {
      if (cause instanceof ConnectException) {
        refused(false);
        return;
      }
      log.write(LogEvent.UPSTREAM_BROKEN, "cause=" + cause);
      scheduler.end(
          item.key(), new SchedulerEvent.ConnectionBroken(item.key(), state.clock().nowNanos()));
      end(new Outcome.OutcomeUnknown(UnknownCause.CONNECTION_LOST));
    }

    /** An upstream that is overloaded refuses with 429; 503 means that it is leaving. */
    private void noteRefusal(UpstreamRecord upstream, int status) {
      if (status == 503) {
        state.leaveSignals().refused(upstream.name());
      }
    }

    private void refused(boolean connected) {
      Promise<Decision> next =
          slot.await(
              () ->
                  scheduler.feed(
                      new SchedulerEvent.Refused(
                          item.key(), connected, 0, state.clock().nowNanos())));
      next.then(this::carryOut);
    }

    private void finished(boolean succeeded) {
      scheduler.end(
          item.key(), new SchedulerEvent.Finished(item.key(), succeeded, state.clock().nowNanos()));
    }

    private void end(Outcome outcome) {
      state.ledger().complete(entry, outcome);
      Replies.outcome(
          ctx, outcome, request.kind().isRepeatable(), state.idCodec().encode(request.id()));
    }

    private boolean isRefusal(UpstreamRecord upstream, int status, String notRun) {
      Optional<Bundle> bundle = state.bundles().current();
      UpstreamPool pool = bundle.map(b -> b.pools().get(upstream.pool())).orElse(null);
      return (notRun != null && (status == 429 || status == 503))
          || (pool != null && pool.refusalStatuses().contains(status));
    }
  }
}
