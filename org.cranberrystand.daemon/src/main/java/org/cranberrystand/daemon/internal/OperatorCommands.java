package org.cranberrystand.daemon.internal;

import static org.cranberrystand.bundle.BundleRegister.Acceptance.ALREADY_IN_FORCE;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.BundleRegister;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Finding;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleSignatures;
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
  private final Consumer<SignedBundle> intake;
  private final BundleSignatures signatures;
  private final DrainControl drain;

  /**
   * Creates the commands of a node.
   *
   * @param state the state of the node
   * @param audit receives each command that is carried out
   * @param intake takes pushed bundles that would come into force
   * @param drain starts the graceful shutdown
   */
  public OperatorCommands(
      NodeState state, AuditLog audit, Consumer<SignedBundle> intake, DrainControl drain) {
    this.state = state;
    this.audit = audit;
    this.intake = intake;
    this.signatures = new BundleSignatures(state.settings().trustedKeys());
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
                take(ctx, Json.read(body.getBytes(), SignedBundle.class), who, why, dryRun);
              } catch (IOException e) {
                Replies.problem(
                    ctx,
                    ProblemType.INVALID_REQUEST,
                    "the body is not a signed bundle; create one with \"bundle sign\"");
              }
            });
  }

  private void take(Context ctx, SignedBundle signed, String who, String why, boolean dryRun) {
    Checked<Bundle> checked = signatures.verify(SOURCE, signed);
    if (!(checked instanceof Checked.Valid<Bundle> valid)) {
      ImmutableList<String> findings =
          checked.findingsOrEmpty().stream()
              .map(Finding::toString)
              .collect(ImmutableList.toImmutableList());
      OperatorReports.send(ctx, new ChangeReport(node(), "refused", false, dryRun, findings));
      return;
    }
    Bundle bundle = valid.value();
    BundleRegister.Acceptance acceptance = judge(bundle);
    if (!dryRun && acceptance == BundleRegister.Acceptance.ACCEPTED) {
      // The push is the cause of what follows, so it is recorded first.
      String what = "version=" + bundle.version() + " digest=" + bundle.digest();
      audit.write(LogEvent.BUNDLE_PUSHED, who, why, what);
      intake.accept(signed);
      // Another bundle may have come into force in between.
      acceptance = judge(bundle) == ALREADY_IN_FORCE ? acceptance : judge(bundle);
    }
    boolean inForce =
        acceptance == ALREADY_IN_FORCE || acceptance == BundleRegister.Acceptance.ACCEPTED;
    String label = acceptance.name().toLowerCase(Locale.ROOT).replace('_', '-');
    OperatorReports.send(ctx, new ChangeReport(node(), label, inForce, dryRun, ImmutableList.of()));
  }

  /** Tells what the register would do with a bundle now. */
  private BundleRegister.Acceptance judge(Bundle bundle) {
    BundleRegister trial = new BundleRegister();
    state.bundles().current().ifPresent(trial::offer);
    return trial.offer(bundle);
  }

  private String node() {
    return state.settings().node();
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
