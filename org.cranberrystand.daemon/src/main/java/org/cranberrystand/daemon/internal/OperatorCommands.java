package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.util.Finding;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.PushedBundle;
import org.cranberrystand.wire.bundle.SignedBundle;
import org.cranberrystand.wire.http.ProblemType;
import org.cranberrystand.wire.operator.ChangeReport;
import org.cranberrystand.wire.operator.OperatorApi;
import ratpack.handling.Context;

/** Answers calls of operators that change something. Safe for use by several threads. */
public final class OperatorCommands {
  private static final String SOURCE = "operator";

  private final NodeState state;
  private final AuditLog audit;
  private final BundleIntake intake;
  private final DrainControl drain;

  /**
   * Creates the commands of a node.
   *
   * @param state the state of the node
   * @param audit receives each command that is carried out
   * @param intake takes pushed bundles
   * @param drain starts the graceful shutdown
   */
  public OperatorCommands(
      NodeState state, AuditLog audit, BundleIntake intake, DrainControl drain) {
    this.state = state;
    this.audit = audit;
    this.intake = intake;
    this.drain = drain;
  }

  void drain(Context ctx) {
    boolean dryRun = OperatorReports.isSet(ctx, OperatorApi.DRY_RUN);
    boolean leaving = state.leaving().get();
    String who = header(ctx, OperatorApi.OPERATOR_HEADER);
    String why = header(ctx, OperatorApi.REASON_HEADER);
    if (who.isEmpty() || why.isEmpty()) {
      refuseAnonymous(ctx);
      return;
    }
    if (!dryRun && !leaving) {
      audit.write(LogEvent.DRAIN_REQUESTED, who, why, "node=" + state.settings().node());
      drain.start();
    }
    String result = leaving ? "already-leaving" : "leaving";
    OperatorReports.send(
        ctx, new ChangeReport(state.settings().node(), result, true, dryRun, ImmutableList.of()));
  }

  void bundle(Context ctx) {
    String who = header(ctx, OperatorApi.OPERATOR_HEADER);
    String why = header(ctx, OperatorApi.REASON_HEADER);
    if (who.isEmpty() || why.isEmpty()) {
      refuseAnonymous(ctx);
      return;
    }
    boolean dryRun = OperatorReports.isSet(ctx, OperatorApi.DRY_RUN);
    ctx.getRequest()
        .getBody()
        .then(
            body -> {
              try {
                take(ctx, Json.read(body.getBytes(), PushedBundle.class), who, why, dryRun);
              } catch (IOException e) {
                Replies.problem(
                    ctx,
                    ProblemType.INVALID_REQUEST,
                    "the body is not a signed bundle; create one with \"bundle sign\"");
              }
            });
  }

  private void take(Context ctx, PushedBundle pushed, String who, String why, boolean dryRun) {
    SignedBundle signed = pushed.toSignedBundle();
    intake.addParts(signed, pushed.parts());
    BundleIntake.DetailedResult verdict = intake.dryRun(SOURCE, signed);
    if (!dryRun && verdict.result() == BundleIntake.Result.ACCEPTED) {
      // The push is the cause of what follows, so it is recorded first.
      String what =
          "version=" + verdict.bundle().version() + " digest=" + verdict.bundle().digest();
      audit.write(LogEvent.BUNDLE_PUSHED, who, why, what);
    }
    if (!dryRun) {
      verdict = intake.offerWithDetails(SOURCE, signed);
    }
    BundleIntake.Result result = verdict.result();
    boolean inForce =
        result == BundleIntake.Result.ACCEPTED || result == BundleIntake.Result.ALREADY_IN_FORCE;
    String label =
        result == BundleIntake.Result.INVALID
            ? "refused"
            : result.name().toLowerCase(Locale.ROOT).replace('_', '-');
    ImmutableList<String> findings =
        verdict.findings().stream().map(Finding::toString).collect(ImmutableList.toImmutableList());
    OperatorReports.send(
        ctx, new ChangeReport(state.settings().node(), label, inForce, dryRun, findings));
  }

  private static void refuseAnonymous(Context ctx) {
    Replies.problem(
        ctx,
        ProblemType.INVALID_REQUEST,
        "headers "
            + OperatorApi.OPERATOR_HEADER
            + " and "
            + OperatorApi.REASON_HEADER
            + " must say who makes the change and why");
  }

  private static String header(Context ctx, String name) {
    String value = ctx.getRequest().getHeaders().get(name);
    try {
      return value == null ? "" : URLDecoder.decode(value, StandardCharsets.UTF_8).strip();
    } catch (IllegalArgumentException e) {
      return "";
    }
  }
}
