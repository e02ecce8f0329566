package org.cranberrystand.daemon.internal;

import java.util.List;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.BundleRegister;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Finding;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.bundle.SignedBundle;

/** Verifies bundles and puts them in force. Safe for use by several threads. */
public final class BundleIntake {
  private final NodeState state;
  private final SchedulerLoop scheduler;
  private final EventLog log;
  private final AuditLog audit;
  private final BundleSignatures signatures;

  /**
   * Creates an intake.
   *
   * @param state holds the bundle in force
   * @param scheduler is told of each new bundle
   * @param log receives what became of each refused bundle
   * @param audit receives each bundle put in force
   */
  public BundleIntake(NodeState state, SchedulerLoop scheduler, EventLog log, AuditLog audit) {
    this.state = state;
    this.scheduler = scheduler;
    this.log = log;
    this.audit = audit;
    this.signatures = new BundleSignatures(state.settings().trustedKeys());
  }

  /**
   * Tells what would become of a bundle without putting it in force.
   *
   * @param source where it came from
   * @param signed the bundle
   * @return the result that {@link #offer} would give now
   */
  public Result check(String source, SignedBundle signed) {
    Checked<Bundle> checked = signatures.verify(source, signed);
    if (!(checked instanceof Checked.Valid<Bundle> valid)) {
      return new Result(null, null, checked.findingsOrEmpty());
    }
    BundleRegister trial = new BundleRegister();
    state.bundles().current().ifPresent(trial::offer);
    return new Result(valid.value(), trial.offer(valid.value()), List.of());
  }

  /**
   * Offers a bundle from an untrusted source.
   *
   * @param source where it came from
   * @param signed the bundle
   * @return what became of it
   */
  public Result offer(String source, SignedBundle signed) {
    Checked<Bundle> checked = signatures.verify(source, signed);
    if (checked instanceof Checked.Valid<Bundle> valid) {
      return new Result(valid.value(), accept(source, valid.value()), List.of());
    }
    log.write(LogEvent.BUNDLE_REFUSED, "source=" + source + " cause=" + checked.findingsOrEmpty());
    return new Result(null, null, checked.findingsOrEmpty());
  }

  private BundleRegister.Acceptance accept(String source, Bundle bundle) {
    String detail = "version=" + bundle.version() + " digest=" + bundle.digest();
    BundleRegister.Acceptance acceptance = state.bundles().offer(bundle);
    if (acceptance == BundleRegister.Acceptance.ACCEPTED) {
      audit.write(
          LogEvent.BUNDLE_IN_FORCE, AuditLog.SYSTEM, "newer version", detail + " source=" + source);
      scheduler.feed(new SchedulerEvent.BundleChanged(bundle, state.clock().nowNanos()));
    } else if (acceptance == BundleRegister.Acceptance.CONFLICT) {
      log.write(LogEvent.BUNDLE_CONFLICT, detail + " source=" + source);
    }
    return acceptance;
  }

  /**
   * What became of an offered bundle.
   *
   * @param bundle the bundle; null if it was refused
   * @param acceptance what the register did; null if the bundle was refused
   * @param findings why the bundle was refused; empty otherwise
   */
  public record Result(
      Bundle bundle, BundleRegister.Acceptance acceptance, List<Finding> findings) {}
}
