package org.cranberrystand.schedule;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounded log of the latest scheduling decision for each request; the oldest entries are evicted
 * first.
 *
 * <p>Not thread-safe.
 */
final class DecisionLog {
  private static final int MAX_RECORDS = 4_096;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Map<Long, DecisionRecord> records =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, DecisionRecord> eldest) {
          return size() > MAX_RECORDS;
        }
      };

  Optional<DecisionRecord> find(long key) {
    return Optional.ofNullable(records.get(key));
  }

  void recordDispatch(
      QueuedItem queued, EnginePool.Placement placement, String detail, long nowNanos) {
    put(
        createRecord(queued, nowNanos, DecisionRecord.Choice.DISPATCHED, detail, placement),
        queued.item().key());
  }

  void recordRejection(QueuedItem queued, String detail, long nowNanos) {
    put(
        createRecord(queued, nowNanos, DecisionRecord.Choice.REJECTED, detail, null),
        queued.item().key());
  }

  void recordHandOver(QueuedItem queued, String node, long nowNanos) {
    DecisionRecord base =
        createRecord(
            queued,
            nowNanos,
            DecisionRecord.Choice.HANDED_OVER,
            "this node has no capacity for the request",
            null);
    put(
        new DecisionRecord(
            base.key(),
            base.team(),
            base.kind(),
            base.tier(),
            base.atNanos(),
            base.queuedMillis(),
            base.choice(),
            node,
            base.detail(),
            0,
            0,
            0,
            0),
        base.key());
  }

  private void put(DecisionRecord decision, long key) {
    records.remove(key);
    records.put(key, decision);
  }

  private static DecisionRecord createRecord(
      QueuedItem queued,
      long nowNanos,
      DecisionRecord.Choice choice,
      String detail,
      EnginePool.Placement placement) {
    WorkItem item = queued.item();
    return new DecisionRecord(
        item.key(),
        item.team(),
        item.kind().name(),
        item.tier(),
        nowNanos,
        (nowNanos - queued.queuedNanos()) / NANOS_PER_MILLI,
        choice,
        placement == null ? "" : placement.engine().name(),
        detail,
        placement == null ? 0 : placement.candidates(),
        placement == null ? 0 : Math.round(placement.cachedTokens()),
        placement == null ? 0 : placement.workSeconds(),
        placement == null ? 0 : placement.minWorkSeconds());
  }
}
