package org.cranberrystand.daemon.internal;

import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.BundleRegister;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.util.Checked;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.bundle.SignedBundle;

/** Verifies bundles and puts them in force. Safe for use by several threads. */
public final class BundleIntake {
  private final NodeState state;
  private final SchedulerLoop scheduler;
  private final EventLog log;
  private final BundleSignatures signatures;

  /**
   * Creates an intake.
   *
   * @param state holds the bundle in force
   * @param scheduler is told of each new bundle
   * @param log receives what became of each bundle
   */
  public BundleIntake(NodeState state, SchedulerLoop scheduler, EventLog log) {
    this.state = state;
    this.scheduler = scheduler;
    this.log = log;
    this.signatures = new BundleSignatures(state.settings().trustedKeys());
  }

  /**
   * Offers a bundle from an untrusted source.
   *
   * @param source where it came from
   * @param signed the bundle
   */
  public void offer(String source, SignedBundle signed) {
    Checked<Bundle> checked = signatures.verify(source, signed);
    if (checked instanceof Checked.Valid<Bundle> valid) {
      accept(source, valid.value());
    } else {
      log.write(LogEvent.BUNDLE_REFUSED, checked.findingsOrEmpty().toString());
    }
  }

  private void accept(String source, Bundle bundle) {
    String detail = "version=" + bundle.version() + " digest=" + bundle.digest();
    BundleRegister.Acceptance acceptance = state.bundles().offer(bundle);
    if (acceptance == BundleRegister.Acceptance.ACCEPTED) {
      log.write(LogEvent.BUNDLE_IN_FORCE, detail + " source=" + source);
      scheduler.feed(new SchedulerEvent.BundleChanged(bundle, state.clock().nowNanos()));
    } else if (acceptance == BundleRegister.Acceptance.CONFLICT) {
      log.write(LogEvent.BUNDLE_CONFLICT, detail + " source=" + source);
    }
  }
}
