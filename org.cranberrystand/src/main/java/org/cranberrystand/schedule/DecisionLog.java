package org.cranberrystand.schedule;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The last decisions by request; the oldest are forgotten first. Not thread-safe. */
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

  void dispatched(QueuedItem queued, EnginePool.Choice choice, String detail, long nowNanos) {
    put(
        record(queued, nowNanos, DecisionRecord.Choice.DISPATCHED, detail, choice),
        queued.item().key());
  }

  void rejected(QueuedItem queued, String detail, long nowNanos) {
    put(
        record(queued, nowNanos, DecisionRecord.Choice.REJECTED, detail, null),
        queued.item().key());
  }

  void handedOver(QueuedItem queued, String node, long nowNanos) {
    DecisionRecord base =
        record(queued, nowNanos, DecisionRecord.Choice.HANDED_OVER, "no room on this node", null);
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

  private static DecisionRecord record(
      QueuedItem queued,
      long nowNanos,
      DecisionRecord.Choice what,
      String detail,
      EnginePool.Choice choice) {
    WorkItem item = queued.item();
    return new DecisionRecord(
        item.key(),
        item.team(),
        item.kind().name(),
        item.tier(),
        nowNanos,
        (nowNanos - queued.queuedNanos()) / NANOS_PER_MILLI,
        what,
        choice == null ? "" : choice.engine().name(),
        detail,
        choice == null ? 0 : choice.candidates(),
        choice == null ? 0 : Math.round(choice.cachedTokens()),
        choice == null ? 0 : choice.workSeconds(),
        choice == null ? 0 : choice.leastWorkSeconds());
  }
}
