package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrystand.util.MonotonicClock;

/**
 * All that one node knows of the members of the fleet, itself included.
 *
 * <p>Records from other nodes are merged by sequence number, incarnation and state. A record about
 * the node itself that says anything but its own state is refuted with a higher sequence number.
 * Members that do not answer become suspect, then gone, then are removed. Not thread-safe.
 */
public final class MembershipTable {

  /**
   * Periods and bounds of a table.
   *
   * @param suspicionNanos how long a suspect has to refute before it counts as gone
   * @param retentionNanos how long the record of a gone member is kept
   * @param maxMembers the largest number of records
   */
  public record Timing(long suspicionNanos, long retentionNanos, int maxMembers) {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * Returns the values used in production.
     *
     * <p>A refutation reaches a fleet of 460 nodes in about 9 exchanges of 1 s at worst, so a
     * shorter suspicion would declare members gone that answer. Retention must exceed the time in
     * which an old record may still arrive from a node that was cut off.
     *
     * @return the defaults
     */
    public static Timing defaults() {
      return new Timing(10 * NANOS_PER_SECOND, 300 * NANOS_PER_SECOND, 4_096);
    }
  }

  private static final class Entry {
    private MemberRecord record;
    private LoadSummary load;
    private long changedAtNanos;
    private long unreachableSinceNanos;
    private boolean unreachable;
    private long version;
    private long loadAtNanos;
  }

  private final String self;
  private final MonotonicClock clock;
  private final Timing timing;
  private final Map<String, Entry> entries = new HashMap<>();
  private long version;
  private long hash;
  private long refutations;

  /**
   * Creates a table that knows only its own node.
   *
   * @param self the record of the node
   * @param clock the clock of the node
   * @param timing periods and bounds
   */
  public MembershipTable(MemberRecord self, MonotonicClock clock, Timing timing) {
    this.self = self.node();
    this.clock = clock;
    this.timing = timing;
    put(self);
    entry().load = LoadSummary.idle(self.node(), self.sequence());
  }

  public MemberRecord self() {
    return entry().record;
  }

  public LoadSummary selfLoad() {
    return entry().load;
  }

  /**
   * Merges a record received from another node.
   *
   * @param record the record
   * @return true if the table changed
   */
  public boolean merge(MemberRecord record) {
    if (record.node().equals(self)) {
      return refute(record);
    }
    Entry known = entries.get(record.node());
    if (known == null) {
      // A gone member that was removed here would return from a node that still retains it.
      if (record.state() == MemberState.GONE || !makeRoom()) {
        return false;
      }
      put(record);
      return true;
    }
    if (!record.isNewerThan(known.record)) {
      return false;
    }
    boolean sameLife = record.sequence() == known.record.sequence();
    put(record);
    if (!sameLife) {
      known.unreachable = false;
    }
    return true;
  }

  /**
   * Merges the load of another node.
   *
   * @param load the load
   * @return true if it is newer than the known one
   */
  public boolean merge(LoadSummary load) {
    Entry known = entries.get(load.node());
    if (known == null || load.node().equals(self)) {
      return false;
    }
    if (known.load != null && load.sequence() <= known.load.sequence()) {
      return false;
    }
    known.load = load;
    known.loadAtNanos = clock.nowNanos();
    known.record = known.record.withFigures(load.bundleVersion(), load.loadPercent());
    return true;
  }

  /**
   * Replaces the load of the node itself.
   *
   * @param load the load; its sequence number is ignored
   */
  public void setSelfLoad(LoadSummary load) {
    Entry own = entry();
    if (load.withSequence(own.load.sequence()).equals(own.load)) {
      return;
    }
    own.load = load.withSequence(Math.max(own.load.sequence(), own.record.sequence()) + 1);
    own.loadAtNanos = clock.nowNanos();
    own.record = own.record.withFigures(load.bundleVersion(), load.loadPercent());
  }

  /**
   * Changes the state of the node itself.
   *
   * @param state the new state
   */
  public void setSelfState(MemberState state) {
    MemberRecord own = self();
    if (own.state() != state) {
      put(own.with(state, own.sequence() + 1));
    }
  }

  /**
   * Records that a member answered.
   *
   * <p>Only the member itself can end a suspicion that other nodes know of; it learns of it from
   * the next digest and answers with a higher sequence number.
   *
   * @param node the name of the member
   */
  public void reportReachable(String node) {
    Entry known = entries.get(node);
    if (known != null) {
      known.unreachable = false;
    }
  }

  /**
   * Records that neither this node nor those it asked could reach a member.
   *
   * @param node the name of the member
   */
  public void reportUnreachable(String node) {
    Entry known = entries.get(node);
    if (known == null || node.equals(self) || known.record.state() == MemberState.GONE) {
      return;
    }
    if (!known.unreachable) {
      known.unreachable = true;
      known.unreachableSinceNanos = clock.nowNanos();
    }
    if (known.record.state() == MemberState.ALIVE) {
      put(known.record.with(MemberState.SUSPECT, known.record.sequence()));
    }
  }

  /**
   * Applies the passing of time: suspects become gone and gone members are removed.
   *
   * @return true if the table changed
   */
  public boolean tick() {
    long now = clock.nowNanos();
    boolean changed = false;
    for (Iterator<Entry> it = entries.values().iterator(); it.hasNext(); ) {
      Entry entry = it.next();
      if (isExpired(entry, now)) {
        it.remove();
        changed = true;
      } else if (isOverdue(entry, now)) {
        put(entry.record.with(MemberState.GONE, entry.record.sequence()));
        changed = true;
      }
    }
    return changed;
  }

  /**
   * Restarts all running suspicions, after the node itself was paused.
   *
   * <p>Refutations that arrived during the pause were not read, so the time that passed says
   * nothing about the suspects.
   */
  public void restartSuspicions() {
    long now = clock.nowNanos();
    for (Entry entry : entries.values()) {
      entry.unreachableSinceNanos = now;
      if (entry.record.state() == MemberState.SUSPECT) {
        entry.changedAtNanos = now;
      }
    }
  }

  /**
   * Returns the local version of the table, which grows with each change of a record.
   *
   * @return the version to pass to {@link #changedSince}
   */
  public long version() {
    return version;
  }

  /**
   * Returns the records that changed after a version.
   *
   * @param since a version returned earlier, or 0 for all records
   * @return the records in the order of their change
   */
  public ImmutableList<MemberRecord> changedSince(long since) {
    return entries.values().stream()
        .filter(e -> e.version > since)
        .sorted(Comparator.comparingLong(e -> e.version))
        .map(e -> e.record)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the records that changed last.
   *
   * @param maxAgeNanos the longest time since the change was learned
   * @param limit the largest number to return
   * @return the records, the latest change first
   */
  public ImmutableList<MemberRecord> latestChanges(long maxAgeNanos, int limit) {
    long now = clock.nowNanos();
    return entries.values().stream()
        .filter(e -> now - e.changedAtNanos <= maxAgeNanos)
        .sorted(Comparator.comparingLong((Entry e) -> e.version).reversed())
        .limit(limit)
        .map(e -> e.record)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the loads that changed lately, the latest first.
   *
   * @param maxAgeNanos the longest time since the change was learned
   * @param limit the largest number to return
   * @return the loads of other nodes and of this one
   */
  public ImmutableList<LoadSummary> recentLoads(long maxAgeNanos, int limit) {
    long now = clock.nowNanos();
    return entries.values().stream()
        .filter(e -> e.load != null && now - e.loadAtNanos <= maxAgeNanos)
        .sorted(Comparator.comparingLong((Entry e) -> e.loadAtNanos).reversed())
        .limit(limit)
        .map(e -> e.load)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the loads of all members that are not gone.
   *
   * @return the loads known
   */
  public ImmutableList<LoadSummary> loads() {
    return entries.values().stream()
        .filter(e -> e.load != null && e.record.state() != MemberState.GONE)
        .map(e -> e.load)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns a hash over the records of all members that are not gone.
   *
   * <p>Gone members are left out, because nodes remove them at different times.
   *
   * @return a number that is equal on nodes with equal records
   */
  public long summaryHash() {
    return hash;
  }

  /**
   * Returns what is known of one member.
   *
   * @param node the name of the member
   * @return its record
   */
  public Optional<MemberRecord> find(String node) {
    return Optional.ofNullable(entries.get(node)).map(e -> e.record);
  }

  /**
   * Returns how often the node had to refute a record about itself.
   *
   * @return the number since the start
   */
  public long refutations() {
    return refutations;
  }

  /**
   * Returns the other members.
   *
   * @return an immutable copy without the node itself
   */
  public MembershipView view() {
    List<MemberRecord> others = new ArrayList<>(entries.size());
    for (Entry entry : entries.values()) {
      if (!entry.record.node().equals(self)) {
        others.add(entry.record);
      }
    }
    return MembershipView.of(others);
  }

  private Entry entry() {
    return entries.get(self);
  }

  private boolean refute(MemberRecord record) {
    MemberRecord own = self();
    if (!record.isNewerThan(own)) {
      return false;
    }
    refutations++;
    put(own.with(own.state(), record.sequence() + 1));
    return true;
  }

  private boolean isExpired(Entry entry, long now) {
    return entry.record.state() == MemberState.GONE
        && now - entry.changedAtNanos >= timing.retentionNanos();
  }

  private boolean isOverdue(Entry entry, long now) {
    MemberState state = entry.record.state();
    if (state == MemberState.SUSPECT) {
      return now - entry.changedAtNanos >= timing.suspicionNanos();
    }
    return state == MemberState.LEAVING
        && entry.unreachable
        && now - entry.unreachableSinceNanos >= timing.suspicionNanos();
  }

  /** Removes the longest gone member when the table is full. */
  private boolean makeRoom() {
    if (entries.size() < timing.maxMembers()) {
      return true;
    }
    Optional<Entry> oldest =
        entries.values().stream()
            .filter(e -> e.record.state() == MemberState.GONE)
            .min(Comparator.comparingLong(e -> e.changedAtNanos));
    oldest.ifPresent(e -> entries.remove(e.record.node()));
    return oldest.isPresent();
  }

  private void put(MemberRecord record) {
    Entry entry = entries.computeIfAbsent(record.node(), n -> new Entry());
    if (entry.record != null) {
      hash -= hashOf(entry.record);
    }
    entry.record =
        entry.load == null
            ? record.withFigures(0, 0)
            : record.withFigures(entry.load.bundleVersion(), entry.load.loadPercent());
    hash += hashOf(record);
    entry.changedAtNanos = clock.nowNanos();
    entry.version = ++version;
  }

  private static long hashOf(MemberRecord record) {
    if (record.state() == MemberState.GONE) {
      return 0;
    }
    return Hashing.farmHashFingerprint64()
        .newHasher()
        .putUnencodedChars(record.node())
        .putUnencodedChars(record.incarnation())
        .putLong(record.sequence())
        .putUnencodedChars(record.state().name())
        .hash()
        .asLong();
  }
}
