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
 * The members of the fleet as known to one node, including the node itself.
 *
 * <p>Records from other nodes are merged by sequence number, incarnation and state. The node
 * refutes a newer record about itself by publishing its own state with a higher sequence number.
 * Members that do not answer become suspect, then gone, and are finally removed. Not thread-safe.
 */
public final class MembershipTable {

  /**
   * Timeouts and size limit of a table.
   *
   * @param suspicionNanos time in which a suspect can refute the suspicion before it becomes gone
   * @param retentionNanos time for which the record of a gone member is kept
   * @param maxMembers maximum number of records
   */
  public record Timing(long suspicionNanos, long retentionNanos, int maxMembers) {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * Returns the production defaults.
     *
     * <p>A refutation takes up to about 9 exchanges at 1 s intervals to reach all of 460 nodes, so
     * a shorter suspicion would declare live members gone. Retention must exceed the time after
     * which a previously partitioned node may still send an old record.
     *
     * @return the default timing
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
    private long loadChangedAtNanos;
  }

  private final String self;
  private final MonotonicClock clock;
  private final Timing timing;
  private final Map<String, Entry> entries = new HashMap<>();
  private long version;
  private long summaryHash;
  private long refutationCount;

  /**
   * Creates a table that contains only its own node.
   *
   * @param self the record of the node
   * @param clock the clock of the node
   * @param timing timeouts and size limit
   */
  public MembershipTable(MemberRecord self, MonotonicClock clock, Timing timing) {
    this.self = self.node();
    this.clock = clock;
    this.timing = timing;
    put(self);
    selfEntry().load = LoadSummary.idle(self.node(), self.sequence());
  }

  public MemberRecord self() {
    return selfEntry().record;
  }

  public LoadSummary selfLoad() {
    return selfEntry().load;
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
    Entry existing = entries.get(record.node());
    if (existing == null) {
      // Otherwise a node that still retains a gone member would add it again after its removal.
      if (record.state() == MemberState.GONE || !ensureCapacity()) {
        return false;
      }
      put(record);
      return true;
    }
    if (!record.isNewerThan(existing.record)) {
      return false;
    }
    boolean sameSequence = record.sequence() == existing.record.sequence();
    put(record);
    if (!sameSequence) {
      existing.unreachable = false;
    }
    return true;
  }

  /**
   * Merges the load of another node.
   *
   * @param load the load
   * @return true if the load is newer than the stored one and its node is a known other member
   */
  public boolean merge(LoadSummary load) {
    Entry existing = entries.get(load.node());
    if (existing == null || load.node().equals(self)) {
      return false;
    }
    if (existing.load != null && load.sequence() <= existing.load.sequence()) {
      return false;
    }
    existing.load = load;
    existing.loadChangedAtNanos = clock.nowNanos();
    existing.record = existing.record.withBundleAndLoad(load.bundleVersion(), load.loadPercent());
    return true;
  }

  /**
   * Replaces the load of the node itself.
   *
   * @param load the load; its sequence number is ignored
   */
  public void setSelfLoad(LoadSummary load) {
    Entry own = selfEntry();
    if (load.withSequence(own.load.sequence()).equals(own.load)) {
      return;
    }
    own.load = load.withSequence(Math.max(own.load.sequence(), own.record.sequence()) + 1);
    own.loadChangedAtNanos = clock.nowNanos();
    own.record = own.record.withBundleAndLoad(load.bundleVersion(), load.loadPercent());
  }

  /**
   * Changes the state of the node itself.
   *
   * @param state the new state
   */
  public void setSelfState(MemberState state) {
    MemberRecord own = self();
    if (own.state() != state) {
      put(own.withState(state, own.sequence() + 1));
    }
  }

  /**
   * Records that a member answered.
   *
   * <p>This does not end a suspicion that was already published. Only the suspected member can
   * refute it, with a higher sequence number, after a digest has told it of the suspicion.
   *
   * @param node the name of the member
   */
  public void reportReachable(String node) {
    Entry existing = entries.get(node);
    if (existing != null) {
      existing.unreachable = false;
    }
  }

  /**
   * Records that a member could be reached neither directly nor through other nodes.
   *
   * @param node the name of the member
   */
  public void reportUnreachable(String node) {
    Entry existing = entries.get(node);
    if (existing == null || node.equals(self) || existing.record.state() == MemberState.GONE) {
      return;
    }
    if (!existing.unreachable) {
      existing.unreachable = true;
      existing.unreachableSinceNanos = clock.nowNanos();
    }
    if (existing.record.state() == MemberState.ALIVE) {
      put(existing.record.withState(MemberState.SUSPECT, existing.record.sequence()));
    }
  }

  /**
   * Applies timeouts: suspects become gone, and gone members are removed.
   *
   * @return true if the table changed
   */
  public boolean tick() {
    long now = clock.nowNanos();
    boolean changed = false;
    for (Iterator<Entry> it = entries.values().iterator(); it.hasNext(); ) {
      Entry entry = it.next();
      if (isRetentionOver(entry, now)) {
        it.remove();
        changed = true;
      } else if (isSuspicionOver(entry, now)) {
        put(entry.record.withState(MemberState.GONE, entry.record.sequence()));
        changed = true;
      }
    }
    return changed;
  }

  /**
   * Restarts the timers of all suspicions after a pause of this node.
   *
   * <p>Refutations that arrived during the pause were not read, so the elapsed time is no evidence
   * against the suspects.
   */
  public void restartSuspicionTimers() {
    long now = clock.nowNanos();
    for (Entry entry : entries.values()) {
      entry.unreachableSinceNanos = now;
      if (entry.record.state() == MemberState.SUSPECT) {
        entry.changedAtNanos = now;
      }
    }
  }

  /**
   * Returns the local version of the table, which increases with each change of a record.
   *
   * @return the version to pass to {@link #changedSince}
   */
  public long version() {
    return version;
  }

  /**
   * Returns the records that changed since a version.
   *
   * @param since a version returned earlier, or 0 for all records
   * @return the records in the order in which they changed
   */
  public ImmutableList<MemberRecord> changedSince(long since) {
    return entries.values().stream()
        .filter(e -> e.version > since)
        .sorted(Comparator.comparingLong(e -> e.version))
        .map(e -> e.record)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the most recently changed records.
   *
   * @param maxAgeNanos the maximum time since this node applied the change
   * @param limit the maximum number of records
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
   * Returns the most recently changed loads.
   *
   * @param maxAgeNanos the maximum time since this node applied the change
   * @param limit the maximum number of loads
   * @return the loads of other nodes and of this one, the latest change first
   */
  public ImmutableList<LoadSummary> recentLoads(long maxAgeNanos, int limit) {
    long now = clock.nowNanos();
    return entries.values().stream()
        .filter(e -> e.load != null && now - e.loadChangedAtNanos <= maxAgeNanos)
        .sorted(Comparator.comparingLong((Entry e) -> e.loadChangedAtNanos).reversed())
        .limit(limit)
        .map(e -> e.load)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the loads of all members that are not gone.
   *
   * @return the loads, including that of this node
   */
  public ImmutableList<LoadSummary> loads() {
    return entries.values().stream()
        .filter(e -> e.load != null && e.record.state() != MemberState.GONE)
        .map(e -> e.load)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns a hash of the records of all members that are not gone.
   *
   * <p>Gone members are excluded because nodes remove them at different times.
   *
   * @return a hash that is equal on nodes with equal records
   */
  public long summaryHash() {
    return summaryHash;
  }

  /**
   * Returns the record of one member.
   *
   * @param node the name of the member
   * @return the record, or empty if the member is unknown
   */
  public Optional<MemberRecord> find(String node) {
    return Optional.ofNullable(entries.get(node)).map(e -> e.record);
  }

  /**
   * Returns how often this node has refuted a record about itself.
   *
   * @return the number of refutations since the start
   */
  public long refutationCount() {
    return refutationCount;
  }

  /**
   * Returns a snapshot of the other members.
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

  private Entry selfEntry() {
    return entries.get(self);
  }

  private boolean refute(MemberRecord record) {
    MemberRecord own = self();
    if (!record.isNewerThan(own)) {
      return false;
    }
    refutationCount++;
    put(own.withState(own.state(), record.sequence() + 1));
    return true;
  }

  private boolean isRetentionOver(Entry entry, long now) {
    return entry.record.state() == MemberState.GONE
        && now - entry.changedAtNanos >= timing.retentionNanos();
  }

  private boolean isSuspicionOver(Entry entry, long now) {
    MemberState state = entry.record.state();
    if (state == MemberState.SUSPECT) {
      return now - entry.changedAtNanos >= timing.suspicionNanos();
    }
    return state == MemberState.LEAVING
        && entry.unreachable
        && now - entry.unreachableSinceNanos >= timing.suspicionNanos();
  }

  /**
   * Makes room in a full table by removing the longest gone member; returns whether there is room.
   */
  private boolean ensureCapacity() {
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
      summaryHash -= hashOf(entry.record);
    }
    entry.record =
        entry.load == null
            ? record.withBundleAndLoad(0, 0)
            : record.withBundleAndLoad(entry.load.bundleVersion(), entry.load.loadPercent());
    summaryHash += hashOf(record);
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
