package org.cranberrystand.daemon.internal;

import com.google.common.primitives.Longs;
import java.io.IOException;
import java.util.Optional;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.PoolType;
import org.cranberrystand.bundle.Shop;
import org.cranberrystand.bundle.WorkKind;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.CompletionRequest;
import org.cranberrystand.wire.http.ProblemDocument;
import org.cranberrystand.wire.http.ProblemType;

/**
 * Parses and validates requests before they are claimed or queued. Safe for use by several threads.
 */
final class RequestReader {

  /**
   * A request as received, before its validation.
   *
   * @param kind the name of the kind of work
   * @param shop the name of the shop; may be null
   * @param id the text form of the identifier; may be null
   * @param deadlineMillis the deadline in milliseconds from the arrival; may be null
   * @param body the body
   */
  record RawRequest(String kind, String shop, String id, String deadlineMillis, RequestBody body) {}

  /** Signals that a request is malformed or not permitted. */
  static final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient ProblemDocument problem;

    InvalidRequestException(ProblemDocument problem) {
      super(problem.title());
      this.problem = problem;
    }

    InvalidRequestException(ProblemType type, String detail) {
      this(ProblemDocument.of(type, detail));
    }

    ProblemDocument problem() {
      return problem;
    }
  }

  private final NodeState state;

  RequestReader(NodeState state) {
    this.state = state;
  }

  /**
   * Validates a request.
   *
   * @param bundle the bundle in force
   * @param raw the request as received
   * @return the valid request
   * @throws InvalidRequestException if the request is malformed or not permitted
   */
  IncomingRequest read(Bundle bundle, RawRequest raw) throws InvalidRequestException {
    WorkKind kind =
        bundle
            .kind(raw.kind())
            .orElseThrow(
                () ->
                    new InvalidRequestException(
                        ProblemType.NOT_FOUND, "the bundle declares no such kind of work"));
    Shop shop = readShop(bundle, raw.shop(), kind);
    long deadlineMillis = readDeadline(raw.deadlineMillis(), kind);
    PoolType poolType = bundle.pools().get(kind.pool()).type();
    CompletionRequest completion =
        poolType.isStreaming() ? readCompletion(raw.body().bytes()) : null;
    RequestId id = readId(raw.id(), kind);
    String idText = raw.id() == null ? state.idCodec().encode(id) : raw.id();
    return new IncomingRequest(
        id, idText, kind, poolType, shop, raw.body(), completion, deadlineMillis);
  }

  private static Shop readShop(Bundle bundle, String name, WorkKind kind)
      throws InvalidRequestException {
    Optional<Shop> shop = bundle.shop(name == null ? "" : name);
    if (shop.isEmpty()) {
      throw new InvalidRequestException(
          ProblemType.INVALID_REQUEST, "header " + ApiHeaders.SHOP + " names no known shop");
    }
    if (!shop.get().kinds().contains(kind.name())) {
      throw new InvalidRequestException(
          ProblemType.INVALID_REQUEST, "the shop may not send this kind of work");
    }
    return shop.get();
  }

  private static long readDeadline(String text, WorkKind kind) throws InvalidRequestException {
    if (text == null) {
      return kind.deadlineMillis();
    }
    Long millis = Longs.tryParse(text);
    if (millis == null || millis <= 0) {
      throw new InvalidRequestException(
          ProblemType.INVALID_REQUEST,
          "header " + ApiHeaders.DEADLINE_MILLIS + " must be a positive number of milliseconds");
    }
    return Math.min(millis, kind.deadlineMillis());
  }

  private static CompletionRequest readCompletion(byte[] body) throws InvalidRequestException {
    try {
      return CompletionRequest.parse(body);
    } catch (IOException e) {
      throw new InvalidRequestException(ProblemType.INVALID_REQUEST, e.getMessage());
    }
  }

  private RequestId readId(String text, WorkKind kind) throws InvalidRequestException {
    if (text == null) {
      RequestId newId = state.issuer().next();
      if (kind.isRepeatable()) {
        return newId;
      }
      ProblemType type = ProblemType.IDENTIFIER_REQUIRED;
      throw new InvalidRequestException(
          new ProblemDocument(
              type.uri(),
              type.title(),
              type.status(),
              null,
              null,
              state.idCodec().encode(newId),
              Long.valueOf(0)));
    }
    return state
        .idCodec()
        .decode(text)
        .orElseThrow(
            () ->
                new InvalidRequestException(
                    ProblemType.INVALID_REQUEST,
                    ApiHeaders.IDEMPOTENCY_KEY + " is not an identifier"));
  }
}
