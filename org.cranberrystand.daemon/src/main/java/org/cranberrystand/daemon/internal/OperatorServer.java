package org.cranberrystand.daemon.internal;

import com.google.common.hash.Hashing;
import com.google.common.net.HostAndPort;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.wire.http.ProblemDocument;
import org.cranberrystand.wire.http.ProblemType;
import org.cranberrystand.wire.operator.OperatorApi;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/**
 * Listener for operators.
 *
 * <p>Every call needs the bearer token of the settings. Safe for use by several threads.
 */
public final class OperatorServer implements AutoCloseable {
  private static final int THREADS = 1;
  private static final int MAX_BODY_BYTES = 64 << 20;
  private static final String BEARER = "Bearer ";
  private static final String UNTYPED_PROBLEM = "about:blank";

  private final RatpackServer server;
  private final EventLog log;
  private final byte[] tokenDigest;
  private final String host;

  /**
   * Opens the listener.
   *
   * @param state the state of the node
   * @param log receives refused calls and failures
   * @param reports handles calls that read reports
   * @param commands handles calls that change the state of the node
   * @throws Exception if the listener cannot be opened
   */
  public OperatorServer(
      NodeState state, EventLog log, OperatorReports reports, OperatorCommands commands)
      throws Exception {
    this.log = log;
    this.tokenDigest = sha256(state.settings().operatorToken());
    this.host = state.settings().operators().getHost();
    ServerConfig config = ListenerConfig.of(state.settings().operators(), THREADS, MAX_BODY_BYTES);
    this.server =
        RatpackServer.start(
            spec ->
                spec.serverConfig(config)
                    .registryOf(
                        registry ->
                            registry
                                .add(ClientErrorHandler.class, OperatorServer::clientError)
                                .add(ServerErrorHandler.class, this::serverError))
                    .handlers(
                        chain ->
                            chain
                                .all(this::authenticate)
                                .insert(c -> addReportHandlers(c, reports))
                                .insert(c -> addCommandHandlers(c, commands))));
  }

  /**
   * Returns the address of the listener.
   *
   * @return host and port
   */
  public HostAndPort address() {
    return HostAndPort.fromParts(host, server.getBindPort());
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  private static void addReportHandlers(Chain chain, OperatorReports reports) throws Exception {
    chain
        .get(OperatorApi.METRICS, reports::metrics)
        .get(OperatorApi.PREFIX + "nodes", reports::nodes)
        .get(OperatorApi.PREFIX + "upstreams", reports::upstreams)
        .get(OperatorApi.PREFIX + "queues", reports::queues)
        .get(OperatorApi.PREFIX + "teams", reports::teams)
        .get(OperatorApi.PREFIX + "rollout", reports::rollout)
        .get(OperatorApi.PREFIX + "audit", reports::audit)
        .get(OperatorApi.PREFIX + "explain/:requestId", reports::explain);
  }

  private static void addCommandHandlers(Chain chain, OperatorCommands commands) throws Exception {
    chain
        .post(OperatorApi.PREFIX + "drain", commands::drain)
        .post(OperatorApi.PREFIX + "bundle", commands::bundle);
  }

  private void authenticate(Context ctx) {
    String header = ctx.getRequest().getHeaders().get("Authorization");
    String token = header != null && header.startsWith(BEARER) ? header.substring(7) : "";
    if (MessageDigest.isEqual(sha256(token), tokenDigest)) {
      ctx.next();
      return;
    }
    log.write(
        LogEvent.OPERATOR_REFUSED,
        "remote=" + ctx.getRequest().getRemoteAddress() + " path=" + ctx.getRequest().getPath());
    ctx.getResponse().getHeaders().set("WWW-Authenticate", "Bearer");
    Replies.problem(ctx, ProblemType.UNAUTHORIZED, "send the operator token as bearer token");
  }

  /** Hashes a token, so that the time of the comparison reveals neither its content nor length. */
  private static byte[] sha256(String token) {
    return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
  }

  private static void clientError(Context ctx, int status) {
    if (status == ProblemType.NOT_FOUND.status()) {
      Replies.problem(ctx, ProblemType.NOT_FOUND, "the operator listener has no such resource");
    } else {
      Replies.problem(ctx, untypedProblem(status, "The call is not accepted."));
    }
  }

  private void serverError(Context ctx, Throwable cause) {
    log.write(LogEvent.TASK_FAILED, "task=operator-call", cause);
    Replies.problem(ctx, untypedProblem(500, "The node failed to answer; its log has the cause."));
  }

  private static ProblemDocument untypedProblem(int status, String title) {
    return new ProblemDocument(UNTYPED_PROBLEM, title, status, null, null, null, null);
  }
}
