package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.cranberrystand.dispatch.RateBound;
import org.cranberrystand.dispatch.UpstreamLimits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class RateShareTest {
  private static final double WINDOW_SECONDS = 4;

  @DataProvider
  public Object[][] fleetsAndLimits() {
    return new Object[][] {
      {1, 0.0}, {1, 2.0}, {8, 0.0}, {8, 0.3}, {8, 1.2}, {8, 2.2}, {8, 40.0}, {90, 1.6}, {90, 25.0}
    };
  }

  private static List<String> hosts(int count) {
    return IntStream.range(0, count).mapToObj(i -> "10.1.0." + i).toList();
  }

  private static long intervalNanos(String host, int nodes, double perSecond) {
    List<String> others = hosts(nodes).stream().filter(other -> !other.equals(host)).toList();
    return RateShare.of(host, others, nodes)
        .minIntervalNanos("u", RateBound.ofStatedLimit(perSecond));
  }

  /** Guards against nodes that each take the limit of an upstream for themselves. */
  @Test(dataProvider = "fleetsAndLimits")
  public void nodesTogetherKeepTheLimitAlsoIfTheySendAtTheSameMoment(int nodes, double perSecond) {
    double requests = 0;
    double rate = 0;
    for (String host : hosts(nodes)) {
      long interval = intervalNanos(host, nodes, perSecond);
      if (interval != UpstreamLimits.NEVER) {
        requests += 1 + Math.floor(WINDOW_SECONDS * 1e9 / interval);
        rate += 1e9 / interval;
      }
    }

    assertTrue(requests <= 1.5 * WINDOW_SECONDS * perSecond + 5, requests + " requests");
    assertTrue(rate >= 0.99 * perSecond, rate + " requests per second");
  }

  /** Guards against a request rate of zero that no node ever finds out to be over. */
  @Test
  public void upstreamWithoutAnyRateIsAskedAgain() {
    long users =
        hosts(8).stream().filter(host -> intervalNanos(host, 8, 0) != UpstreamLimits.NEVER).count();

    assertEquals(users, 2);
  }
}
