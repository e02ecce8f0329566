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
 * Verifies bundles, puts valid newer ones in force and keeps their signed form for other nodes.
 *
 * <p>Safe for use by several threads.
 */
public final class BundleIntake {

  /** Result of an offer of a bundle. */
  public enum Result {
    /** The bundle was valid and newer, and is in force now. */
    ACCEPTED,
    /** The same bundle was already in force. */
    ALREADY_IN_FORCE,
    /** A newer version is in force. */
    OLDER,
    /** A bundle with the same version but different content is in force. */
    CONFLICT,
    /** The bundle is malformed or not signed by a trusted key. */
    INVALID,
    /** The bundle is signed by a trusted key, but some of its parts are missing on this node. */
    INCOMPLETE;

    private static Result of(BundleHolder.OfferResult offerResult) {
      return switch (offerResult) {
        case ACCEPTED -> ACCEPTED;
        case ALREADY_IN_FORCE -> ALREADY_IN_FORCE;
        case OLDER -> OLDER;
        case CONFLICT -> CONFLICT;
      };
    }
  }

  /**
   * Two bundles with the same version but different content.
   *
   * @param version the version of both
   * @param digestInForce the digest of the bundle in force on this node
   * @param otherDigest the digest of the other bundle
   * @param source the origin of the other bundle
   */
  public record Conflict(long version, String digestInForce, String otherDigest, String source) {}

  /**
   * Result of an offer with details for an operator.
   *
   * @param result the result
   * @param bundle the parsed bundle; null if it is invalid or incomplete
   * @param findings the reasons why the bundle is invalid or incomplete; empty otherwise
   */
  public record DetailedResult(Result result, Bundle bundle, List<Finding> findings) {}

  private record CurrentBundle(Bundle bundle, RequestBody signedJson) {}

  private static final int MAX_CONFLICTS = 32;

  private final NodeState state;
  private final SchedulerLoop scheduler;
  private final EventLog log;
  private final AuditLog audit;
  private final BundleSignatures signatures;
  private final AtomicReference<CurrentBundle> currentBundle = new AtomicReference<>();
  private final Queue<Conflict> conflicts =
      com.google.common.collect.Queues.synchronizedQueue(EvictingQueue.create(MAX_CONFLICTS));
  private final BundlePartCache parts = new BundlePartCache();
  private volatile Runnable acceptedListener = () -> {};

  /**
   * Creates an intake.
   *
   * @param state holds the bundle in force
   * @param scheduler receives an event for each new bundle
   * @param log receives events for accepted and refused bundles
   * @param audit records conflicts
   */
  public BundleIntake(NodeState state, SchedulerLoop scheduler, EventLog log, AuditLog audit) {
    this.state = state;
    this.scheduler = scheduler;
    this.log = log;
    this.audit = audit;
    this.signatures = new BundleSignatures(state.settings().trustedKeys());
  }

  /**
   * Sets the listener that is called when a bundle is put in force.
   *
   * @param listener called after the event for the scheduler
   */
  void setAcceptedListener(Runnable listener) {
    this.acceptedListener = listener;
  }

  /**
   * Verifies a bundle and puts it in force if it is newer; its parts must have been added.
   *
   * @param source the origin of the bundle, for log and audit entries
   * @param signed the bundle
   * @return the result of the offer
   */
  public Result offer(String source, SignedBundle signed) {
    return offerWithDetails(source, signed).result();
  }

  /**
   * Does the same as {@link #offer} and returns the reasons for a refusal.
   *
   * @param source the origin of the bundle, for log and audit entries
   * @param signed the bundle
   * @return the result of the offer
   */
  public DetailedResult offerWithDetails(String source, SignedBundle signed) {
    DetailedResult verified = verify(source, signed);
    if (verified.result() != Result.ACCEPTED) {
      log.write(LogEvent.BUNDLE_REFUSED, "source=" + source + " cause=" + verified.findings());
      return verified;
    }
    return new DetailedResult(
        putInForce(source, verified.bundle(), signed), verified.bundle(), List.of());
  }

  /**
   * Returns the result that an offer of the bundle would have now, without putting it in force.
   *
   * @param source the origin of the bundle, for log and audit entries
   * @param signed the bundle
   * @return the result that {@link #offerWithDetails} would return
   */
  public DetailedResult dryRun(String source, SignedBundle signed) {
    DetailedResult verified = verify(source, signed);
    if (verified.result() != Result.ACCEPTED) {
      return verified;
    }
    BundleHolder dryRunHolder = new BundleHolder();
    state.bundles().current().ifPresent(dryRunHolder::offer);
    return new DetailedResult(
        Result.of(dryRunHolder.offer(verified.bundle())), verified.bundle(), List.of());
  }

  /** Verifies a bundle; {@code ACCEPTED} means only that it may be offered to the holder. */
  private DetailedResult verify(String source, SignedBundle signed) {
    if (signatures.isTrusted(signed) && !missingParts(signed).isEmpty()) {
      Findings findings = new Findings(source);
      missingParts(signed).forEach(digest -> findings.add(0, "parts", digest + " is missing"));
      return new DetailedResult(Result.INCOMPLETE, null, findings.toList());
    }
    Checked<Bundle> checked = signatures.verify(source, signed, parts::find);
    return checked instanceof Checked.Valid<Bundle> valid
        ? new DetailedResult(Result.ACCEPTED, valid.value(), List.of())
        : new DetailedResult(Result.INVALID, null, checked.findingsOrEmpty());
  }

  /**
   * Adds a bundle part from an untrusted source.
   *
   * @param digest the requested digest
   * @param text the received text
   * @return false if the text is malformed or does not match the digest
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
   * Adds the parts of a bundle that an operator pushed.
   *
   * <p>Ignores all parts if the bundle is not signed by a trusted key, and parts that the bundle
   * does not list.
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
   * @return the text, or empty if this node does not have the part
   */
  public Optional<String> partText(String digest) {
    return parts.findText(digest);
  }

  /** Returns the digests of the parts of a bundle that this node does not have. */
  ImmutableList<String> missingParts(SignedBundle signed) {
    return parts.findMissing(BundleParser.partDigests(signed.bundle()));
  }

  /** Returns the version of a bundle, or 0 if it is invalid or incomplete. */
  long versionOf(SignedBundle signed) {
    return signatures.verify("bundle", signed, parts::find) instanceof Checked.Valid<Bundle> valid
        ? valid.value().version()
        : 0;
  }

  /** Returns whether a bundle is signed by a trusted key. */
  boolean isTrusted(SignedBundle signed) {
    return signatures.isTrusted(signed);
  }

  /**
   * Returns the signed bundle in force as JSON.
   *
   * @param digest the digest of the requested bundle
   * @return the JSON text in UTF-8, or empty if another bundle is in force
   */
  public Optional<byte[]> signedJson(String digest) {
    CurrentBundle current = currentBundle.get();
    return current != null && current.bundle().digest().equals(digest)
        ? Optional.of(current.signedJson().bytes())
        : Optional.empty();
  }

  /**
   * Returns the most recent conflicts.
   *
   * @return at most 32 conflicts, the oldest first
   */
  public ImmutableList<Conflict> conflicts() {
    synchronized (conflicts) {
      return ImmutableList.copyOf(Collections.unmodifiableCollection(conflicts));
    }
  }

  /**
   * Records that a bundle with the version in force but different content exists, once per source.
   *
   * @param source the origin of the other bundle
   * @param version the version of both bundles
   * @param otherDigest the digest of the other bundle
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

  private Result putInForce(String source, Bundle bundle, SignedBundle signed) {
    BundleHolder.OfferResult offerResult = state.bundles().offer(bundle);
    if (offerResult == BundleHolder.OfferResult.ACCEPTED) {
      // This may drop parts of a newer bundle whose fetch is in progress; they are fetched again.
      parts.retain(BundleParser.partDigests(signed.bundle()));
      setIfNewer(new CurrentBundle(bundle, new RequestBody(Json.toBytes(signed))));
      log.write(
          LogEvent.BUNDLE_IN_FORCE,
          "version=" + bundle.version() + " digest=" + bundle.digest() + " source=" + source);
      scheduler.feed(new SchedulerEvent.BundleChanged(bundle, state.clock().nowNanos()));
      acceptedListener.run();
    } else if (offerResult == BundleHolder.OfferResult.CONFLICT) {
      reportConflict(source, bundle.version(), bundle.digest());
    }
    return Result.of(offerResult);
  }

  /**
   * Replaces the bundle if the candidate is newer, since threads may accept bundles concurrently.
   */
  private void setIfNewer(CurrentBundle candidate) {
    currentBundle.accumulateAndGet(
        candidate,
        (current, next) ->
            current == null || next.bundle().version() > current.bundle().version()
                ? next
                : current);
  }
}
