package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.routing.ColdStart;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Which upstreams are cold, and how many requests they tolerate meanwhile.
 *
 * <p>The newest statement about an upstream holds: its registration, a response, or an event after
 * which it may be cold again. Without a tolerance in the settings, no upstream counts as cold.
 * Designed for 3,100 upstreams, all of them cold at once. Not thread-safe.
 */
public final class ColdUpstreams {
  /**
   * A registration that arrives so soon after an event may have been written before it: the store
   * and its readers pass changes on in batches of up to 250 ms.
   */
  private static final long REGISTRATION_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Entries of upstreams that have ended expire; others register every few seconds. */
  private static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);

  /** Why an upstream counts as cold. */
  public enum Cause {
    /** Its registration says so. */
    REGISTRATION,
    /** A response says so. */
    RESPONSE,
    /** It started again. */
    INCARNATION,
    /** A connection to it could not be opened. */
    CONTACT_LOST,
    /** The evacuation of its failure domain ended. */
    EVACUATION_ENDED,
    /** This node did not run for some time and missed what changed. */
    NODE_RESUMED
  }

  /**
   * A cold upstream.
   *
   * @param cause why it counts as cold
   * @param remainingMillis how much longer it counts as cold
   * @param perSecond the requests per second that it tolerates from all nodes together
   */
  public record Cold(Cause cause, long remainingMillis, double perSecond) {}

  private static final class Entry {
    private final RegisteredUpstream upstream;
    private long revision;
    private long registeredNanos;
    private Cause cause = Cause.REGISTRATION;
    private boolean cold;
    private long coldUntilNanos;
    private boolean assumed;
    private long assumedNanos;

    private Entry(RegisteredUpstream upstream) {
      this.upstream = upstream;
    }

    private void set(Cause value, long millis, long nowNanos) {
      cause = value;
      cold = millis > 0;
      coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private boolean isCold(long nowNanos) {
      return cold && nowNanos - coldUntilNanos < 0;
    }

    /** Treats the upstream as cold for at least some time; until then, old statements are void. */
    private void assume(Cause value, long millis, long nowNanos) {
      long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
      if (!isCold(nowNanos) || untilNanos - coldUntilNanos > 0) {
        set(value, millis, nowNanos);
      }
      assumed = true;
      assumedNanos = nowNanos;
    }

    private boolean isOlderThanAssumption(long statedNanos) {
      return assumed && statedNanos - assumedNanos < 0;
    }
  }

  private final Optional<ColdTolerance> tolerance;
  private final Map<String, Entry> entries = new HashMap<>();
  private ImmutableMap<String, ColdStart> pools = ImmutableMap.of();

  /**
   * Creates a state without cold upstreams.
   *
   * @param tolerance how far requests may exceed the declared rate; empty if no upstream counts as
   *     cold
   */
  public ColdUpstreams(Optional<ColdTolerance> tolerance) {
    this.tolerance = tolerance;
  }

  /**
   * Returns whether upstreams may count as cold at all.
   *
   * @return false if the settings contain no tolerance
   */
  public boolean isEnabled() {
    return tolerance.isPresent();
  }

  /**
   * Replaces what the declaration says of the pools.
   *
   * @param value the declared behaviour by name of the pool
   */
  public void declared(Map<String, ColdStart> value) {
    pools = ImmutableMap.copyOf(value);
  }

  /**
   * Applies a registration.
   *
   * @param upstream the registration
   * @param revision the revision of the published value; a value that is read again has the same
   * @param nowNanos the current time
   */
  public void registered(RegisteredUpstream upstream, long revision, long nowNanos) {
    if (!isEnabled()) {
      return;
    }
    Entry known = entries.get(upstream.id());
    boolean isStated = upstream.coldRemainingMillis() != RegisteredUpstream.COLD_UNKNOWN;
    if (known == null || !known.upstream.isSameIncarnation(upstream)) {
      Entry entry = new Entry(upstream);
      entries.put(upstream.id(), entry);
      if (isStated) {
        entry.set(Cause.REGISTRATION, upstream.coldRemainingMillis(), nowNanos);
      } else if (known != null) {
        entry.assume(Cause.INCARNATION, coldStart(upstream).durationMillis(), nowNanos);
      }
      entry.revision = revision;
      entry.registeredNanos = nowNanos;
      return;
    }
    if (isStated
        && known.revision != revision
        && !known.isOlderThanAssumption(nowNanos - REGISTRATION_DELAY_NANOS)) {
      known.set(Cause.REGISTRATION, upstream.coldRemainingMillis(), nowNanos);
    }
    known.revision = revision;
    known.registeredNanos = nowNanos;
  }

  /**
   * Applies what a response says.
   *
   * @param upstream the upstream that responded
   * @param duration how much longer it will be cold
   * @param sentNanos when the request was sent
   * @param nowNanos the current time
   */
  public void stated(
      RegisteredUpstream upstream, ColdDuration duration, long sentNanos, long nowNanos) {
    Entry entry = entry(upstream);
    if (duration.isValid() && entry != null && !entry.isOlderThanAssumption(sentNanos)) {
      entry.set(Cause.RESPONSE, duration.millis(), nowNanos);
    }
  }

  /**
   * Treats upstreams as cold for the time that their pools declare, unless they state another one
   * later.
   *
   * @param upstreams the upstreams; those of pools without cold upstreams are ignored
   * @param cause what happened
   * @param nowNanos the current time
   * @return true if at least one of them counts as cold now
   */
  public boolean treatAsCold(Collection<RegisteredUpstream> upstreams, Cause cause, long nowNanos) {
    boolean any = false;
    for (RegisteredUpstream upstream : upstreams) {
      Entry entry = entry(upstream);
      ColdStart coldStart = coldStart(upstream);
      if (entry != null && coldStart.isDeclared()) {
        entry.assume(cause, coldStart.durationMillis(), nowNanos);
        any = true;
      }
    }
    return any;
  }

  /**
   * Returns the limit of an upstream while it is cold.
   *
   * @param upstream the upstream
   * @param nowNanos the current time
   * @return the requests that it accepts from all nodes together; empty if it is not cold
   */
  public Optional<RateBound> bound(RegisteredUpstream upstream, long nowNanos) {
    Entry entry = entry(upstream);
    ColdStart coldStart = coldStart(upstream);
    return entry != null && coldStart.isDeclared() && entry.isCold(nowNanos)
        ? tolerance.map(
            one -> RateBound.ofColdUpstream(coldStart.perSecond(), one.over(), one.slack()))
        : Optional.empty();
  }

  private Entry entry(RegisteredUpstream upstream) {
    Entry entry = entries.get(upstream.id());
    return entry != null && entry.upstream.isSameIncarnation(upstream) ? entry : null;
  }

  private ColdStart coldStart(RegisteredUpstream upstream) {
    return pools.getOrDefault(upstream.pool(), ColdStart.NONE);
  }

  /**
   * Returns the cold upstreams.
   *
   * @param nowNanos the current time
   * @return the upstreams by identifier
   */
  public ImmutableMap<String, Cold> cold(long nowNanos) {
    ImmutableMap.Builder<String, Cold> cold = ImmutableMap.builder();
    entries.forEach(
        (id, entry) -> {
          ColdStart coldStart = coldStart(entry.upstream);
          if (coldStart.isDeclared() && entry.isCold(nowNanos)) {
            long remaining = TimeUnit.NANOSECONDS.toMillis(entry.coldUntilNanos - nowNanos);
            cold.put(id, new Cold(entry.cause, remaining, coldStart.perSecond()));
          }
        });
    return cold.buildOrThrow();
  }

  /**
   * Forgets upstreams that have not registered for long.
   *
   * @param nowNanos the current time
   */
  public void expire(long nowNanos) {
    entries.values().removeIf(entry -> nowNanos - entry.registeredNanos >= RETENTION_NANOS);
  }
}
