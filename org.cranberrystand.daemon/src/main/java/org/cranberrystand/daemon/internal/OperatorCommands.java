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

/** Handles operator calls that change the state of the node. Safe for use by several threads. */
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
   * @param audit receives each executed command
   * @param intake validates and applies pushed bundles
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
    boolean alreadyLeaving = state.leaving().get();
    String operator = header(ctx, OperatorApi.OPERATOR_HEADER);
    String reason = header(ctx, OperatorApi.REASON_HEADER);
    if (operator.isEmpty() || reason.isEmpty()) {
      rejectUnattributed(ctx);
      return;
    }
    if (!dryRun && !alreadyLeaving) {
      audit.write(LogEvent.DRAIN_REQUESTED, operator, reason, "node=" + state.settings().node());
      drain.start();
    }
    String result = alreadyLeaving ? "already-leaving" : "leaving";
    OperatorReports.send(
        ctx, new ChangeReport(state.settings().node(), result, true, dryRun, ImmutableList.of()));
  }

  void bundle(Context ctx) {
    String operator = header(ctx, OperatorApi.OPERATOR_HEADER);
    String reason = header(ctx, OperatorApi.REASON_HEADER);
    if (operator.isEmpty() || reason.isEmpty()) {
      rejectUnattributed(ctx);
      return;
    }
    boolean dryRun = OperatorReports.isSet(ctx, OperatorApi.DRY_RUN);
    ctx.getRequest()
        .getBody()
        .then(
            body -> {
              try {
                applyPushedBundle(
                    ctx, Json.read(body.getBytes(), PushedBundle.class), operator, reason, dryRun);
              } catch (IOException e) {
                Replies.problem(
                    ctx,
                    ProblemType.INVALID_REQUEST,
                    "the body is not a signed bundle; create one with \"bundle sign\"");
              }
            });
  }

  private void applyPushedBundle(
      Context ctx, PushedBundle pushed, String operator, String reason, boolean dryRun) {
    SignedBundle signed = pushed.toSignedBundle();
    intake.addParts(signed, pushed.parts());
    BundleIntake.DetailedResult verdict = intake.dryRun(SOURCE, signed);
    if (!dryRun && verdict.result() == BundleIntake.Result.ACCEPTED) {
      // Recorded before the bundle is applied, so that the audit trail shows cause before effect.
      String what =
          "version=" + verdict.bundle().version() + " digest=" + verdict.bundle().digest();
      audit.write(LogEvent.BUNDLE_PUSHED, operator, reason, what);
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

  private static void rejectUnattributed(Context ctx) {
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
