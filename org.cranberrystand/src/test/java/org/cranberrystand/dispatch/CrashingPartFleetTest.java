package org.cranberrystand.dispatch;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Registers of several nodes that tell each other with a delay, while requests with one crashing
 * part and sound requests with the same first part come at all of them.
 */
public final class CrashingPartFleetTest {
  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long STEP = 10 * MILLISECOND;
  private static final long REPORT_INTERVAL = 300 * MILLISECOND;
  private static final long REPORT_DELAY = 300 * MILLISECOND;
  private static final long OUTCOME_DELAY = 160 * MILLISECOND;
  private static final long CONTACT = 3_000 * MILLISECOND;
  private static final long LENGTH = 40_000 * MILLISECOND;
  private static final double SOUND_PER_SECOND = 2;
  private static final long CRASHING_PART = 1;
  private static final int FIRST_PARTS = 20;

  /** Requests with the crashing part that may reach upstreams later than the bound. */
  private static final int MAX_LATE_CRASHES = 3;

  private record Event(long atNanos, Runnable action) {}

  /** The nodes, and what happens to their requests. */
  private static final class Fleet {
    private final List<CrashRegister> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));
    private final SplittableRandom random;
    private final List<Long> crashNanos = new ArrayList<>();
    private int soundCount;
    private int soundRefusedCount;

    Fleet(int nodeCount, int seed) {
      random = new SplittableRandom(seed);
      for (int i = 0; i < nodeCount; i++) {
        nodes.add(new CrashRegister());
      }
    }

    void runEvents(long now) {
      while (!events.isEmpty() && events.peek().atNanos() <= now) {
        events.poll().action().run();
      }
    }

    void exchangeReports(long now) {
      List<ImmutableList<CrashRegister.Report>> reports =
          nodes.stream().map(node -> node.reports(now)).toList();
      long at = now + REPORT_DELAY;
      events.add(
          new Event(
              at, () -> nodes.forEach(node -> reports.forEach(one -> node.reported(one, at)))));
    }

    void sendCrashing(long firstPart, long now) {
      CrashRegister node = randomNode();
      List<Long> keys = ImmutableList.of(ownKey(), firstPart, CRASHING_PART);
      if (isSent(node, keys, now)) {
        crashNanos.add(now);
        String upstream = "u" + crashNanos.size();
        long at = now + OUTCOME_DELAY;
        events.add(new Event(at, () -> node.crashed(keys, upstream, at, at)));
      }
    }

    void sendSound(long firstPart, long now) {
      CrashRegister node = randomNode();
      List<Long> keys = ImmutableList.of(ownKey(), firstPart);
      boolean isSent = isSent(node, keys, now);
      if (isSent) {
        long at = now + OUTCOME_DELAY;
        events.add(new Event(at, () -> node.answered(keys, at)));
      }
      if (crashNanos.size() >= 3 && now > crashNanos.get(2) + 2 * CONTACT) {
        soundCount++;
        soundRefusedCount += isSent ? 0 : 1;
      }
    }

    private CrashRegister randomNode() {
      return nodes.get(random.nextInt(nodes.size()));
    }

    private long ownKey() {
      return random.nextLong() | Long.MIN_VALUE;
    }

    private static boolean isSent(CrashRegister node, List<Long> keys, long now) {
      CrashRegister.Verdict verdict = node.judge(keys, now);
      if (verdict.isProbe()) {
        node.probeSent(verdict.probedKeys(), now);
      }
      return verdict.refusalNanos() == 0;
    }

    private long lateCrashCount() {
      return crashNanos.size() <= 5
          ? 0
          : crashNanos.stream().filter(at -> at > crashNanos.get(4) + CONTACT).count();
    }
  }

  @DataProvider
  public Object[][] fleets() {
    List<Object[]> rows = new ArrayList<>();
    for (int seed = 1; seed <= 10; seed++) {
      rows.add(new Object[] {2, 0.7, 1, seed});
      rows.add(new Object[] {8, 20.0, 1, seed});
      rows.add(new Object[] {8, 5.0, FIRST_PARTS, seed});
      rows.add(new Object[] {30, 20.0, FIRST_PARTS, seed});
    }
    return rows.toArray(Object[][]::new);
  }

  /**
   * Guards against refusing sound requests for what they share with crashing ones, and against
   * crashing further upstreams to find out.
   */
  @Test(dataProvider = "fleets")
  public void onlyTheCrashingPartIsRefused(
      int nodeCount, double crashingPerSecond, int firstPartCount, int seed) {
    Fleet fleet = new Fleet(nodeCount, seed);
    SplittableRandom arrivals = new SplittableRandom(seed);
    for (long now = STEP; now < LENGTH; now += STEP) {
      fleet.runEvents(now);
      if (now % REPORT_INTERVAL == 0) {
        fleet.exchangeReports(now);
      }
      long firstPart = 100L + arrivals.nextInt(firstPartCount);
      if (arrivals.nextDouble() < crashingPerSecond * STEP / 1e9) {
        fleet.sendCrashing(firstPart, now);
      }
      if (arrivals.nextDouble() < SOUND_PER_SECOND * STEP / 1e9) {
        fleet.sendSound(firstPart, now);
      }
    }
    assertTrue(
        fleet.lateCrashCount() <= MAX_LATE_CRASHES,
        fleet.lateCrashCount() + " of " + fleet.crashNanos.size() + " crashes are late");
    assertTrue(fleet.soundCount >= 20, "sound requests: " + fleet.soundCount);
    assertTrue(
        fleet.soundRefusedCount * 10 < fleet.soundCount,
        fleet.soundRefusedCount + " of " + fleet.soundCount + " refused");
  }
}
