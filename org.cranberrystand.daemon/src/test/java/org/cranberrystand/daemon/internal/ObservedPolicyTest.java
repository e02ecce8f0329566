package org.cranberrystand.daemon.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.bundle.WorkKind;
import org.cranberrystand.identity.IdentifierIssuer;
import org.cranberrystand.identity.Incarnation;
import org.cranberrystand.identity.RequestLedger;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.schedule.SchedulerAction;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.WorkItem;
import org.cranberrystand.upstream.UpstreamRecord;
import org.cranberrystand.util.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ObservedPolicyTest {
  private static final UpstreamRecord ENGINE =
      new UpstreamRecord("engine-1", "engines", "127.0.0.1:1", "a", false);
  private static final WorkKind KIND =
      WorkKind.builder("question").tier(Tier.URGENT).pool("engines").build();

  private Metrics metrics;
  private List<SchedulerAction> nextActions;
  private ObservedPolicy policy;

  @BeforeMethod
  public void create() {
    IdentifierIssuer issuer =
        new IdentifierIssuer(new Incarnation("node-a", 1), new ManualClock(0), 1_000_000);
    metrics = new Metrics(new RequestLedger(issuer, 0));
    nextActions = ImmutableList.of();
    policy = new ObservedPolicy(event -> nextActions, metrics);
  }

  @Test
  public void answeredRequestIsMeasuredFromArrivalToLastToken() {
    WorkItem item = item(1);
    handle(new SchedulerEvent.Submitted(item, millis(10)));
    assertEquals(policy.load().tiers().get(Tier.URGENT), new LoadSnapshot.Counts(1, 0));
    handle(new SchedulerEvent.Tick(millis(30)), new SchedulerAction.Dispatch(item, ENGINE));
    assertEquals(policy.load().tiers().get(Tier.URGENT), new LoadSnapshot.Counts(0, 1));
    assertEquals(policy.load().upstreams(), ImmutableMap.of("engine-1", 1));
    assertEquals(policy.load().teams(), ImmutableMap.of("team", new LoadSnapshot.Counts(0, 1)));
    handle(new SchedulerEvent.TokensProduced(1, 1, millis(1_510)));
    handle(new SchedulerEvent.TokensProduced(1, 1, millis(1_560)));
    handle(new SchedulerEvent.Finished(1, true, millis(1_570)));

    assertIdle();
    assertMetric("requests_total{kind=\"question\",outcome=\"answered\",tier=\"urgent\"} 1.0");
    assertMetric("first_token_seconds_sum{tier=\"urgent\"} 1.5");
    assertMetric("first_token_seconds_bucket{tier=\"urgent\",le=\"1.2\"} 0");
    assertMetric("first_token_seconds_bucket{tier=\"urgent\",le=\"1.7\"} 1");
    assertMetric("token_gap_seconds_sum{tier=\"urgent\"} 0.05");
    assertEquals(
        policy.trace("shop", "digest").orElseThrow().steps().toString(),
        ImmutableList.of(
                new RequestTrace.Step(0, "submitted", ""),
                new RequestTrace.Step(20, "dispatched", "engine-1"),
                new RequestTrace.Step(1_500, "first-token", ""),
                new RequestTrace.Step(1_560, "answered", ""))
            .toString());
  }

  /** Guards against gauges that drift when a refused request is dispatched again or rejected. */
  @Test
  public void refusedRequestReturnsToTheQueueUntilItIsRejected() {
    WorkItem item = item(1);
    handle(
        new SchedulerEvent.Submitted(item, millis(10)), new SchedulerAction.Dispatch(item, ENGINE));
    handle(new SchedulerEvent.Refused(1, true, 0, millis(20)));
    assertEquals(policy.load().tiers().get(Tier.URGENT), new LoadSnapshot.Counts(1, 0));
    assertEquals(policy.load().upstreams(), ImmutableMap.of());
    handle(new SchedulerEvent.Tick(millis(30)), new SchedulerAction.Dispatch(item, ENGINE));
    handle(
        new SchedulerEvent.Refused(1, false, 0, millis(40)),
        new SchedulerAction.Reject(item, NotRunReason.REFUSED, 5));

    assertIdle();
    assertMetric("requests_total{kind=\"question\",outcome=\"not-run\",tier=\"urgent\"} 1.0");
    handle(new SchedulerEvent.Finished(1, true, millis(50)));
    assertIdle();
  }

  /** Guards against traces that grow without bound. */
  @Test
  public void onlyRecentRequestsAreTraced() {
    for (int key = 1; key <= 5_000; key++) {
      WorkItem item = item(key);
      handle(
          new SchedulerEvent.Submitted(item, millis(10)),
          new SchedulerAction.Reject(item, NotRunReason.OVERLOADED, 5));
    }

    assertTrue(policy.trace(1).isEmpty());
    assertTrue(policy.trace(5_000).isPresent());
    assertEquals(policy.trace("shop", "digest").orElseThrow().key(), 5_000);
  }

  private void assertIdle() {
    assertEquals(policy.load().tiers().get(Tier.URGENT), new LoadSnapshot.Counts(0, 0));
    assertEquals(policy.load().teams(), ImmutableMap.of());
    assertEquals(policy.load().upstreams(), ImmutableMap.of());
    assertMetric("queued_requests{tier=\"urgent\"} 0");
    assertMetric("running_requests{tier=\"urgent\"} 0");
  }

  private void assertMetric(String line) {
    assertTrue(metrics.scrape().contains("cranberrystand_" + line), line + metrics.scrape());
  }

  private void handle(SchedulerEvent event, SchedulerAction... actions) {
    nextActions = ImmutableList.copyOf(actions);
    policy.handle(event);
  }

  private static WorkItem item(long key) {
    return WorkItem.builder(key, KIND)
        .shop("shop", "team")
        .contentDigest("digest")
        .times(millis(10), millis(60_000))
        .build();
  }

  private static long millis(long value) {
    return TimeUnit.MILLISECONDS.toNanos(value);
  }
}
