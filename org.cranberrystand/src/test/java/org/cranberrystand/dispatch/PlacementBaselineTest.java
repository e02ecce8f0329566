package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.testng.annotations.Test;

/** Placement at upstreams that report no speed. */
public final class PlacementBaselineTest {
  private static final long MILLI = 1_000_000L;
  private static final int UPSTREAMS = 6;
  private static final int CALLS = 400;

  /** Digest of the placements at commit 26bb06f, before upstreams could report their speed. */
  private static final String DIGEST_BEFORE =
      "2e6744b928b4fa2597e04b01726ab309c81fdfed86a524676928927452676aee";

  /**
   * Guards against a change of the decisions in deployments whose upstreams report no speed and no
   * evacuation.
   */
  @Test
  public void placementsWithoutReportedSpeedAreUnchanged() {
    RecordedDecisions decisions = new RecordedDecisions();
    CallDispatcher dispatcher = new CallDispatcher(decisions, 7);
    SplittableRandom random = new SplittableRandom(11);
    dispatcher.upstreamsChanged(upstreams(), 0);
    List<Long> running = new ArrayList<>();
    int seen = 0;
    for (int key = 1; key <= CALLS; key++) {
      long now = key * 7L * MILLI;
      if (key % 13 == 0) {
        String peerUpstream = "u" + random.nextInt(UPSTREAMS);
        UpstreamUsage usage = new UpstreamUsage(1 + random.nextInt(2), random.nextInt(4_000));
        dispatcher.peerUsageChanged(ImmutableMap.of(peerUpstream, usage), now);
      }
      dispatcher.submit(call(key, now, random), key % 17 == 0 ? "u1" : null, now);
      for (; seen < decisions.sent.size(); seen++) {
        running.add(decisions.sent.get(seen).key());
      }
      if (running.size() > 8) {
        long ended = running.remove(random.nextInt(running.size()));
        dispatcher.eventsReceived(ended, 6, now - 2 * MILLI);
        dispatcher.eventsReceived(ended, 6, now);
        dispatcher.ended(ended, CallEnding.ANSWERED, now);
      }
      dispatcher.tick(now);
    }

    String placements =
        decisions.sent.stream()
            .map(sent -> sent.key() + "@" + sent.upstream())
            .collect(Collectors.joining(","));
    String digest = Hashing.sha256().hashString(placements, StandardCharsets.UTF_8).toString();
    assertEquals(digest, DIGEST_BEFORE, decisions.sent.size() + " placements");
  }

  private static List<RegisteredUpstream> upstreams() {
    List<RegisteredUpstream> result = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      String domain = i % 2 == 0 ? "east" : "west";
      result.add(
          new RegisteredUpstream(
              "u" + i, "llm", "10.0.0.1:8" + i, domain, "v1", 3, 1, i == 5 ? 900 : 0, false));
    }
    return result;
  }

  private static CallSpec call(long key, long now, SplittableRandom random) {
    return CallSpec.builder(key, "llm")
        .streaming(key % 3 != 0)
        .priority(random.nextInt(3))
        .size(100 + random.nextInt(3_000), 20)
        .prefix(random.nextInt(4), key % 2 == 0 ? 600 : 0)
        .times(now, now + 400 * MILLI, now + 15_000 * MILLI)
        .build();
  }
}
