package org.cranberrystand.daemon.internal;

import com.google.common.collect.EvictingQueue;
import com.google.common.collect.ImmutableList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.BundleHolder;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Finding;
import org.cranberrystand.util.Findings;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleParser;
import org.cranberrystand.wire.bundle.BundlePart;
import org.cranberrystand.wire.bundle.BundlePartCache;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.bundle.SignedBundle;

/**
 * Verifies bundles, puts them in force and keeps the signed form for other nodes.
 *
 * <p>Safe for use by several threads.
 */
public final class BundleIntake {

  /** What became of an offered bundle. */
  public enum Result {
    /** It is in force now. */
    ACCEPTED,
    /** It was in force already. */
    ALREADY_IN_FORCE,
    /** A newer version is in force. */
    OLDER,
    /** Another content is in force under its version. */
    CONFLICT,
    /** It is not signed by a trusted key, or malformed. */
    INVALID,
    /** It is signed by a trusted key, but parts of it are not held yet. */
    INCOMPLETE;

    private static Result of(BundleHolder.OfferResult acceptance) {
      return switch (acceptance) {
        case ACCEPTED -> ACCEPTED;
        case ALREADY_IN_FORCE -> ALREADY_IN_FORCE;
        case OLDER -> OLDER;
        case CONFLICT -> CONFLICT;
      };
    }
  }

  /**
   * Two contents of one version.
   *
   * @param version the version
   * @param digestInForce the content that this node keeps
   * @param otherDigest the other content
   * @param source where the other content came from
   */
  public record Conflict(long version, String digestInForce, String otherDigest, String source) {}

  /**
   * What became of an offered bundle, for the operator who offered it.
   *
   * @param result what became of it
   * @param bundle the bundle; null if it could not be read
   * @param findings why it was refused; empty otherwise
   */
  public record Verdict(Result result, Bundle bundle, List<Finding> findings) {}

  private record Held(Bundle bundle, RequestBody json) {}

  private static final int MAX_CONFLICTS = 32;

  private final NodeState state;
  private final SchedulerLoop scheduler;
  private final EventLog log;
  private final AuditLog audit;
  private final BundleSignatures signatures;
  private final AtomicReference<Held> held = new AtomicReference<>();
  private final Queue<Conflict> conflicts =
      com.google.common.collect.Queues.synchronizedQueue(EvictingQueue.create(MAX_CONFLICTS));
  private final BundlePartCache parts = new BundlePartCache();
  private volatile Runnable onAccepted = () -> {};

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
   * Sets what to do when a bundle came into force.
   *
   * @param action called after the scheduler was told
   */
  void onAccepted(Runnable action) {
    this.onAccepted = action;
  }

  /**
   * Offers a bundle from an untrusted source; its parts must have been added.
   *
   * @param source where it came from
   * @param signed the bundle
   * @return what became of it
   */
  public Result offer(String source, SignedBundle signed) {
    return offerForVerdict(source, signed).result();
  }

  /**
   * Offers a bundle and tells the reasons of a refusal; its parts must have been added.
   *
   * @param source where it came from
   * @param signed the bundle
   * @return what became of it
   */
  public Verdict offerForVerdict(String source, SignedBundle signed) {
    Verdict read = read(source, signed);
    if (read.result() != Result.ACCEPTED) {
      log.write(LogEvent.BUNDLE_REFUSED, "source=" + source + " cause=" + read.findings());
      return read;
    }
    return new Verdict(accept(source, read.bundle(), signed), read.bundle(), List.of());
  }

  /**
   * Tells what would become of a bundle without putting it in force.
   *
   * @param source where it came from
   * @param signed the bundle
   * @return the verdict that {@link #offerForVerdict} would give now
   */
  public Verdict check(String source, SignedBundle signed) {
    Verdict read = read(source, signed);
    if (read.result() != Result.ACCEPTED) {
      return read;
    }
    BundleHolder trial = new BundleHolder();
    state.bundles().current().ifPresent(trial::offer);
    return new Verdict(Result.of(trial.offer(read.bundle())), read.bundle(), List.of());
  }

  /** Reads a bundle; {@code ACCEPTED} means that it may be offered to the register. */
  private Verdict read(String source, SignedBundle signed) {
    if (signatures.isTrusted(signed) && !missingParts(signed).isEmpty()) {
      Findings findings = new Findings(source);
      missingParts(signed).forEach(digest -> findings.add(0, "parts", digest + " is missing"));
      return new Verdict(Result.INCOMPLETE, null, findings.toList());
    }
    Checked<Bundle> checked = signatures.verify(source, signed, parts::find);
    return checked instanceof Checked.Valid<Bundle> valid
        ? new Verdict(Result.ACCEPTED, valid.value(), List.of())
        : new Verdict(Result.INVALID, null, checked.findingsOrEmpty());
  }

  /**
   * Adds a part from an untrusted source.
   *
   * @param digest the digest by which it was asked for
   * @param text what was received
   * @return false if the text does not have this digest or is malformed
   */
  public boolean addPart(String digest, String text) {
    Checked<BundlePart> part = parts.add(digest, text);
    if (part instanceof Checked.Invalid<BundlePart> invalid) {
      log.write(LogEvent.BUNDLE_REFUSED, invalid.findings().toString());
      return false;
    }
    return true;
  }

  /**
   * Adds the parts of a bundle that an operator handed over.
   *
   * <p>Ignores parts of a bundle that no trusted key signed, and parts that the bundle does not
   * list.
   *
   * @param signed the bundle
   * @param texts the texts of its parts by digest
   */
  public void addParts(SignedBundle signed, Map<String, String> texts) {
    if (signatures.isTrusted(signed)) {
      for (String digest : missingParts(signed)) {
        String text = texts.get(digest);
        if (text != null) {
          addPart(digest, text);
        }
      }
    }
  }

  /**
   * Returns the text of a part.
   *
   * @param digest the digest of the part
   * @return the text, or empty when the part is not held
   */
  public Optional<String> partText(String digest) {
    return parts.findText(digest);
  }

  /** Returns the digests of the parts of a bundle that are not held. */
  ImmutableList<String> missingParts(SignedBundle signed) {
    return parts.findMissing(BundleParser.partDigests(signed.bundle()));
  }

  /** Returns the version of a bundle, or 0 when it is not valid or not complete. */
  long versionOf(SignedBundle signed) {
    return signatures.verify("bundle", signed, parts::find) instanceof Checked.Valid<Bundle> valid
        ? valid.value().version()
        : 0;
  }

  /** Tells whether a trusted key signed a bundle. */
  boolean isTrusted(SignedBundle signed) {
    return signatures.isTrusted(signed);
  }

  /**
   * Returns the signed form of the bundle in force.
   *
   * @param digest the digest asked for
   * @return JSON, or empty when another bundle is in force
   */
  public Optional<byte[]> signedForm(String digest) {
    Held current = held.get();
    return current != null && current.bundle().digest().equals(digest)
        ? Optional.of(current.json().bytes())
        : Optional.empty();
  }

  /**
   * Returns the conflicts seen lately.
   *
   * @return the latest conflicts, the oldest first
   */
  public ImmutableList<Conflict> conflicts() {
    synchronized (conflicts) {
      return ImmutableList.copyOf(Collections.unmodifiableCollection(conflicts));
    }
  }

  /**
   * Reports that another content exists under the version in force.
   *
   * @param source where it was seen
   * @param version the version
   * @param otherDigest the digest of the other content
   */
  void reportConflict(String source, long version, String otherDigest) {
    String own = state.bundles().current().map(Bundle::digest).orElse("");
    Conflict conflict = new Conflict(version, own, otherDigest, source);
    synchronized (conflicts) {
      if (conflicts.contains(conflict)) {
        return;
      }
      conflicts.add(conflict);
    }
    audit.write(
        LogEvent.BUNDLE_CONFLICT,
        AuditLog.SYSTEM,
        "two contents of one version",
        "version=" + version + " digest=" + otherDigest + " inForce=" + own + " source=" + source);
  }

  private Result accept(String source, Bundle bundle, SignedBundle signed) {
    BundleHolder.OfferResult acceptance = state.bundles().offer(bundle);
    if (acceptance == BundleHolder.OfferResult.ACCEPTED) {
      // Parts of a version that is being fetched may be dropped here; they are fetched again.
      parts.retain(BundleParser.partDigests(signed.bundle()));
      hold(new Held(bundle, new RequestBody(Json.toBytes(signed))));
      log.write(
          LogEvent.BUNDLE_IN_FORCE,
          "version=" + bundle.version() + " digest=" + bundle.digest() + " source=" + source);
      scheduler.feed(new SchedulerEvent.BundleChanged(bundle, state.clock().nowNanos()));
      onAccepted.run();
    } else if (acceptance == BundleHolder.OfferResult.CONFLICT) {
      reportConflict(source, bundle.version(), bundle.digest());
    }
    return Result.of(acceptance);
  }

  /** Two threads may accept bundles at once; the higher version stays. */
  private void hold(Held candidate) {
    held.accumulateAndGet(
        candidate,
        (current, next) ->
            current == null || next.bundle().version() > current.bundle().version()
                ? next
                : current);
  }
}
