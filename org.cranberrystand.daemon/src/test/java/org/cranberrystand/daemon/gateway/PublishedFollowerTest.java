package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.DefaultEventLoop;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.membership.PublishedVersion;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class PublishedFollowerTest {
  private static final int TIMEOUT_SECONDS = 5;
  private static final int HEARTBEAT_MILLIS = 1_200;

  /** Store whose responses are provided by the test. */
  private static final class ScriptedStore implements PublishedStore {
    private record Watch(
        PublishedVersion after, int waitMillis, CompletableFuture<WatchResult> answer) {}

    private final BlockingQueue<Watch> watches = new LinkedBlockingQueue<>();
    private final BlockingQueue<CompletableFuture<PublishedState>> lists =
        new LinkedBlockingQueue<>();

    @Override
    public CompletionStage<PublishedState> list() {
      CompletableFuture<PublishedState> answer = new CompletableFuture<>();
      lists.add(answer);
      return answer;
    }

    @Override
    public CompletionStage<WatchResult> watch(PublishedVersion after, int waitMillis) {
      Watch watch = new Watch(after, waitMillis, new CompletableFuture<>());
      watches.add(watch);
      return watch.answer();
    }

    private Watch nextWatch() throws InterruptedException {
      return watches.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private CompletableFuture<PublishedState> nextList() throws InterruptedException {
      return lists.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
      // Nothing to close.
    }
  }

  /** Records the calls in order. */
  private static final class RecordedCalls implements PublishedFollower.Listener {
    private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private volatile Runnable application = () -> {};

    @Override
    public void storeRestored() {
      calls.add("restored");
    }

    @Override
    public void stateReplaced(PublishedState state) {
      calls.add("replaced " + state.version());
      application.run();
    }

    @Override
    public void valuesChanged(PublishedState state, Iterable<PublishedValue> changes) {
      calls.add("changed " + state.version());
      application.run();
    }

    @Override
    public void storeLost() {
      calls.add("lost");
    }

    @Override
    public void storeRegained() {
      calls.add("regained");
    }

    @Override
    public void registrationsMayHaveExpired() {
      calls.add("uncertain");
    }

    @Override
    public void registrationsDidNotExpire() {
      calls.add("certain");
    }

    private String next() throws InterruptedException {
      return calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
  }

  private DefaultEventLoop loop;
  private ScriptedStore store;
  private RecordedCalls listener;
  private PublishedFollower follower;

  @BeforeMethod
  public void startWithoutState() {
    loop = new DefaultEventLoop();
    store = new ScriptedStore();
    listener = new RecordedCalls();
    follower =
        new PublishedFollower(loop, store, listener, new EventLog("n1"), HEARTBEAT_MILLIS, 1);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    follower.close();
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private static void throwException() {
    throw new IllegalStateException("odd value");
  }

  private static void throwError() {
    throw new StackOverflowError();
  }

  @DataProvider
  public Object[][] failures() {
    Runnable exception = PublishedFollowerTest::throwException;
    Runnable error = PublishedFollowerTest::throwError;
    return new Object[][] {{exception}, {error}};
  }

  /** Guards against a value that ends the following of the store when it cannot be applied. */
  @Test(dataProvider = "failures")
  public void storeIsNoLongerReadAfterAStateThatCannotBeApplied(Runnable failure) throws Exception {
    listener.application = failure;
    loop.execute(() -> follower.start(StoreRole.LEADING));
    store.nextList().complete(new PublishedState(version(0, 7), ImmutableMap.of()));
    assertEquals(listener.next(), "replaced 0.7");

    ImmutableList<PublishedValue> odd = ImmutableList.of(new PublishedValue("k", 8, "v"));
    nextWatch().answer().complete(new PublishedStore.Changes(version(0, 8), odd));
    assertEquals(listener.next(), "changed 0.8");

    PublishedUpdate update = new PublishedUpdate(version(0, 9), true, ImmutableList.of());
    loop.submit(() -> follower.applyPeerUpdate(update)).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(listener.next(), "replaced 0.9");

    listener.application = () -> {};
    nextWatch().answer().complete(new PublishedStore.Changes(version(0, 10), odd));
    assertEquals(listener.next(), "changed 0.10");
  }

  private ScriptedStore.Watch nextWatch() throws InterruptedException {
    ScriptedStore.Watch watch = store.nextWatch();
    assertNotNull(watch, "no further watch");
    return watch;
  }

  /**
   * Guards against noticing the recovery of the store only at the end of a long watch. Removals
   * were treated as expired registrations until then, and an upstream that had left got requests
   * for another 2.2 s.
   */
  @Test
  public void returnOfTheStoreIsNoticedAtOnce() throws Exception {
    loop.execute(() -> follower.start(StoreRole.LEADING));
    store.nextList().complete(new PublishedState(version(0, 7), ImmutableMap.of()));
    assertEquals(listener.next(), "replaced 0.7");
    ScriptedStore.Watch first = store.nextWatch();
    assertTrue(first.waitMillis() > 1_000);
    first.answer().completeExceptionally(new IOException("connection lost"));
    store.nextWatch().answer().completeExceptionally(new IOException("connection lost"));
    assertEquals(listener.next(), "lost");

    ScriptedStore.Watch resumed = store.nextWatch();
    assertEquals(resumed.after(), version(0, 7));
    assertTrue(resumed.waitMillis() <= 100, "waits " + resumed.waitMillis());
    resumed.answer().complete(new PublishedStore.Changes(version(0, 7), ImmutableList.of()));
    assertEquals(listener.next(), "regained");
    assertTrue(store.nextWatch().waitMillis() > 1_000);
  }

  /**
   * Guards against taking a cut watch for the loss of the store: removals counted as expired
   * registrations after it, and upstreams that had left got requests as long as watches were cut.
   */
  @Test
  public void cutWatchesAreNoLossOfTheStore() throws Exception {
    readFirstState(0, 7);
    for (int i = 0; i < 5; i++) {
      ScriptedStore.Watch cut = store.nextWatch();
      assertTrue(cut.waitMillis() > 1_000);
      cut.answer().completeExceptionally(new IOException("connection closed"));
      ScriptedStore.Watch check = store.nextWatch();
      assertTrue(check.waitMillis() <= 100, "waits " + check.waitMillis());
      assertTrue(follower.readsStore());
      check.answer().complete(new PublishedStore.Changes(version(0, 7), ImmutableList.of()));
    }
    store.nextWatch();
    assertTrue(listener.calls.isEmpty(), listener.calls.toString());
  }

  /**
   * Guards against losing live upstreams after an outage that ended before a call failed: all that
   * shows it is how long the store was silent.
   */
  @Test
  public void silenceOfTwoHeartbeatsIsReportedBeforeTheChanges() throws Exception {
    readFirstState(0, 7);
    long startNanos = System.nanoTime();
    store.nextWatch();
    ScriptedStore.Watch check = store.nextWatch();
    long passedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    TimeUnit.MILLISECONDS.sleep(2 * HEARTBEAT_MILLIS + 50 - passedMillis);
    check.answer().complete(change(8));

    assertEquals(listener.next(), "uncertain");
    assertEquals(listener.next(), "changed 0.8");
  }

  /** Guards against a grace period at a node that changes of the store reached through others. */
  @Test
  public void changesFromOtherNodesAreSignsOfTheStore() throws Exception {
    readFirstState(0, 7);
    store.nextWatch();
    for (int revision = 8; revision < 12; revision++) {
      TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
      PublishedUpdate update = new PublishedUpdate(version(0, revision), false, ImmutableList.of());
      onLoop(() -> follower.applyPeerUpdate(update));
      assertEquals(listener.next(), "changed 0." + revision);
    }
  }

  /**
   * Guards against a reader that takes over from a lost one and notices a change, or the loss of
   * the store, only at the end of its long watch.
   */
  @Test
  public void readerThatTakesOverStartsAShortWatch() throws Exception {
    onLoop(() -> follower.setRole(StoreRole.SUPPLEMENTARY));
    readFirstState(0, 7);
    ScriptedStore.Watch longWatch = store.nextWatch();
    assertEquals(longWatch.waitMillis(), StoreRole.SUPPLEMENTARY.watchMillis());
    onLoop(() -> follower.setRole(StoreRole.LEADING));

    ScriptedStore.Watch shortWatch = store.nextWatch();
    assertTrue(shortWatch.waitMillis() < 2 * HEARTBEAT_MILLIS);
    longWatch.answer().completeExceptionally(new IOException("connection closed"));
    shortWatch.answer().complete(change(8));
    assertEquals(listener.next(), "changed 0.8");
    store.nextWatch();
    assertEquals(store.watches.poll(100, TimeUnit.MILLISECONDS), null);
  }

  /** Guards against taking a store without changes for one that is away. */
  @Test
  public void watchAfterAPauseEndsBeforeTheStoreLooksAbsent() throws Exception {
    readFirstState(0, 7);
    long pauseMillis = StoreRole.LEADING.pauseMillis();
    int waitMillis = store.nextWatch().waitMillis();
    assertTrue(waitMillis + pauseMillis < 2 * HEARTBEAT_MILLIS, "waits " + waitMillis);
    assertTrue(waitMillis > HEARTBEAT_MILLIS, "waits " + waitMillis);
  }

  /**
   * Guards against noticing a connection that went silent only at the end of a long timeout: until
   * then, dropped keys worked and removed upstreams got requests.
   */
  @Test
  public void overdueWatchIsCheckedByAnotherOne() throws Exception {
    readFirstState(0, 7);
    ScriptedStore.Watch silent = store.nextWatch();
    long startNanos = System.nanoTime();
    ScriptedStore.Watch check = store.nextWatch();
    long silentMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    assertTrue(silentMillis < 2 * HEARTBEAT_MILLIS, "noticed after " + silentMillis + " ms");
    assertTrue(check.waitMillis() <= 100, "waits " + check.waitMillis());
    check.answer().complete(change(9));
    assertEquals(listener.next(), "changed 0.9");

    silent.answer().complete(change(8));
    assertEquals(store.nextWatch().after(), version(0, 9));
    assertTrue(listener.calls.isEmpty(), listener.calls.toString());
  }

  /**
   * Guards against a grace period for removed upstreams that goes on after a partition, until the
   * node's own call of the store succeeds, though others read there that the upstreams are gone.
   */
  @Test
  public void storeThatOthersReadIsNotLost() throws Exception {
    onLoop(() -> follower.setRole(StoreRole.SUPPLEMENTARY));
    readFirstState(0, 7);
    store.nextWatch().answer().completeExceptionally(new IOException("partition"));
    store.nextWatch().answer().completeExceptionally(new IOException("partition"));
    assertEquals(listener.next(), "lost");

    onLoop(follower::storeReadByOthers);
    assertEquals(listener.next(), "regained");
    onLoop(follower::storeReadByOthers);

    onLoop(() -> follower.setRole(StoreRole.LEADING));
    onLoop(follower::storeReadByOthers);
    assertEquals(listener.next(), "lost");

    store.nextWatch().answer().complete(change(8));
    assertEquals(listener.next(), "regained");
    assertEquals(listener.next(), "changed 0.8");
  }

  /**
   * Guards against a grace period for removed upstreams after a partition in which another node
   * read the store all the time, whether its report or the own answer of the store comes first.
   */
  @Test(dataProvider = "steadyReports")
  public void absenceThatAnotherNodeDidNotHaveIsNone(boolean ownAnswerFirst) throws Exception {
    readFirstState(0, 7);
    store.nextWatch();
    ScriptedStore.Watch check = store.nextWatch();
    TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
    if (ownAnswerFirst) {
      check.answer().complete(change(8));
      assertEquals(listener.next(), "uncertain");
      assertEquals(listener.next(), "changed 0.8");
    }

    onLoop(() -> follower.storeSteadyAtOther(1));
    assertEquals(listener.calls.size(), 0, listener.calls.toString());
    onLoop(() -> follower.storeSteadyAtOther(60));
    assertEquals(listener.next(), "certain");
    onLoop(() -> follower.storeSteadyAtOther(60));
    onLoop(follower::storeReadByOthers);
    assertEquals(listener.calls.size(), 0, listener.calls.toString());
  }

  @DataProvider
  public Object[] steadyReports() {
    return new Object[] {false, true};
  }

  private static PublishedVersion version(long era, long revision) {
    return new PublishedVersion(era, revision);
  }

  private static PublishedState state(long era, long revision) {
    return new PublishedState(version(era, revision), ImmutableMap.of());
  }

  private void onLoop(Runnable action) throws Exception {
    loop.submit(action).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Guards against every node polling the store for every change. */
  @Test
  public void passiveNodeLeavesTheStoreToOthersUntilItIsNeeded() throws Exception {
    onLoop(() -> follower.setRole(StoreRole.PASSIVE));
    onLoop(() -> follower.start(StoreRole.LEADING));
    store.nextList().complete(new PublishedState(version(0, 7), ImmutableMap.of()));
    assertEquals(listener.next(), "replaced 0.7");
    assertTrue(store.watches.isEmpty());

    PublishedValue value = new PublishedValue("k", 9, "v");
    onLoop(
        () ->
            follower.applyPeerUpdate(
                new PublishedUpdate(version(0, 9), false, ImmutableList.of(value))));
    assertEquals(listener.next(), "changed 0.9");

    onLoop(() -> follower.setRole(StoreRole.LEADING));
    assertEquals(store.nextWatch().after(), version(0, 9));
  }

  private void readFirstState(long era, long revision) throws Exception {
    onLoop(() -> follower.start(StoreRole.LEADING));
    store.nextList().complete(state(era, revision));
    assertEquals(listener.next(), "replaced " + version(era, revision));
  }

  /**
   * Guards against a node that keeps the state of the era before, or lists in a loop, because a
   * store restored from a copy has lower revisions.
   */
  @Test
  public void restoredStoreReplacesTheStateDespiteALowerRevision() throws Exception {
    readFirstState(1, 100);
    store.nextWatch().answer().complete(new PublishedStore.HistoryLost());
    store.nextList().complete(state(2, 80));

    assertEquals(listener.next(), "restored");
    assertEquals(listener.next(), "replaced 2.80");
    assertEquals(store.nextWatch().after(), version(2, 80));
  }

  /**
   * Guards against missing changes when a restored store has assigned the node's revision again and
   * answers its watch as if nothing had happened.
   */
  @Test
  public void watchAnsweredInANewEraIsFollowedByAList() throws Exception {
    readFirstState(1, 100);
    PublishedValue value = new PublishedValue("k", 101, "v");
    store
        .nextWatch()
        .answer()
        .complete(new PublishedStore.Changes(version(2, 101), ImmutableList.of(value)));
    store.nextList().complete(state(2, 101));

    assertEquals(listener.next(), "restored");
    assertEquals(listener.next(), "replaced 2.101");
    assertEquals(store.nextWatch().after(), version(2, 101));
  }

  /** Guards against an answer from before a restoration that brings the old era back. */
  @Test
  public void answerOfAnEarlierEraIsNotApplied() throws Exception {
    readFirstState(1, 100);
    ScriptedStore.Watch delayed = store.nextWatch();
    onLoop(
        () ->
            follower.applyPeerUpdate(
                new PublishedUpdate(version(2, 80), true, ImmutableList.of())));
    assertEquals(listener.next(), "restored");
    assertEquals(listener.next(), "replaced 2.80");
    delayed.answer().complete(new PublishedStore.Changes(version(1, 101), ImmutableList.of()));

    ScriptedStore.Watch check = store.nextWatch();
    assertEquals(check.after(), version(2, 80));
    check.answer().complete(new PublishedStore.Changes(version(1, 101), ImmutableList.of()));
    assertEquals(listener.next(), "lost");
    assertEquals(store.nextWatch().after(), version(2, 80));
  }

  /** Guards against a node of an earlier era that overwrites the state of the present one. */
  @Test
  public void updateOfAnEarlierEraIsNotApplied() throws Exception {
    readFirstState(2, 80);
    onLoop(
        () ->
            follower.applyPeerUpdate(
                new PublishedUpdate(version(1, 100), true, ImmutableList.of())));

    onLoop(() -> assertEquals(follower.state().version(), version(2, 80)));
    assertTrue(listener.calls.isEmpty());
  }

  private static PublishedStore.Changes change(long revision) {
    return new PublishedStore.Changes(
        version(0, revision), ImmutableList.of(new PublishedValue("k", revision, "v")));
  }

  /**
   * Guards against one call to the store for each of many changes in quick succession. The pause
   * must not exceed what the deadline of 1 s for a declaration leaves.
   */
  @Test
  public void watchAfterChangesStartsAfterAPause() throws Exception {
    readFirstState(0, 7);
    for (StoreRole role : ImmutableList.of(StoreRole.LEADING, StoreRole.SUPPLEMENTARY)) {
      onLoop(() -> follower.setRole(role));
      ScriptedStore.Watch watch = store.nextWatch();
      long answeredNanos = System.nanoTime();
      watch.answer().complete(change(watch.after().revision() + 1));
      assertTrue(listener.next().startsWith("changed"));
      ScriptedStore.Watch next = store.nextWatch();
      long pauseMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answeredNanos);
      assertTrue(pauseMillis >= role.pauseMillis() - 1, role + " pauses " + pauseMillis + " ms");
      assertTrue(role.pauseMillis() <= 500, role + " pauses " + role.pauseMillis() + " ms");
      next.answer().complete(new PublishedStore.Changes(next.after(), ImmutableList.of()));
    }
  }

  /** Guards against a pause after a watch without changes, which would delay the next change. */
  @Test
  public void watchWithoutChangesIsFollowedByTheNextAtOnce() throws Exception {
    readFirstState(0, 7);
    ScriptedStore.Watch watch = store.nextWatch();
    long answeredNanos = System.nanoTime();
    watch.answer().complete(new PublishedStore.Changes(version(0, 7), ImmutableList.of()));
    store.nextWatch();
    long delayMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answeredNanos);
    assertTrue(delayMillis < StoreRole.LEADING.pauseMillis(), "waits " + delayMillis + " ms");
  }

  /**
   * Guards against a watch of every node of a large fleet at startup: a node that becomes passive
   * soon after its first list makes no other call.
   */
  @Test
  public void nodeThatSoonBecomesPassiveStartsNoWatch() throws Exception {
    readFirstState(0, 7);
    onLoop(() -> follower.setRole(StoreRole.PASSIVE));
    assertEquals(store.watches.poll(700, TimeUnit.MILLISECONDS), null);
    assertTrue(!follower.readsStore());
  }

  /** Guards against a node that is needed as a reader during a pause and starts two watches. */
  @Test
  public void nodeNeededDuringAPauseStartsOneWatch() throws Exception {
    readFirstState(0, 7);
    onLoop(() -> follower.setRole(StoreRole.PASSIVE));
    onLoop(() -> follower.setRole(StoreRole.LEADING));
    assertEquals(store.nextWatch().after(), version(0, 7));
    assertEquals(store.watches.poll(700, TimeUnit.MILLISECONDS), null);
  }

  /**
   * Guards against an answer that was delayed and puts values back that were changed since, for
   * example an evacuation that has ended.
   */
  @Test
  public void delayedAnswerDoesNotPutOldValuesBack() throws Exception {
    readFirstState(1, 100);
    ScriptedStore.Watch delayed = store.nextWatch();
    PublishedValue current = new PublishedValue("k", 105, "new");
    onLoop(
        () ->
            follower.applyPeerUpdate(
                new PublishedUpdate(version(1, 105), false, ImmutableList.of(current))));
    assertEquals(listener.next(), "changed 1.105");
    PublishedValue old = new PublishedValue("k", 102, "old");
    delayed.answer().complete(new PublishedStore.Changes(version(1, 102), ImmutableList.of(old)));

    assertEquals(store.nextWatch().after(), version(1, 105));
    onLoop(() -> assertEquals(follower.state().values().get("k"), current));
  }

  /** Guards against a node that stood still and takes its old state for confirmed. */
  @Test
  public void missedChangesAreAppliedBeforeTheStateIsConfirmed() throws Exception {
    readFirstState(1, 100);
    store.nextWatch();
    BlockingQueue<PublishedVersion> confirmed = new LinkedBlockingQueue<>();
    onLoop(
        () ->
            follower.readMissed(
                isConfirmed -> {
                  assertTrue(isConfirmed);
                  confirmed.add(follower.state().version());
                }));
    store
        .nextWatch()
        .answer()
        .complete(
            new PublishedStore.Changes(
                version(1, 103), ImmutableList.of(new PublishedValue("k", 103, "v"))));

    assertEquals(listener.next(), "changed 1.103");
    assertEquals(confirmed.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), version(1, 103));
  }

  /** Guards against a store that fails, or lost its history, and counts as a confirmation. */
  @Test
  public void failedReadDoesNotConfirmTheState() throws Exception {
    readFirstState(1, 100);
    store.nextWatch();
    BlockingQueue<Boolean> confirmed = new LinkedBlockingQueue<>();
    onLoop(() -> follower.readMissed(confirmed::add));
    store.nextWatch().answer().completeExceptionally(new IOException("away"));
    onLoop(() -> follower.readMissed(confirmed::add));
    store.nextWatch().answer().complete(new PublishedStore.HistoryLost());
    onLoop(() -> {});

    assertEquals(ImmutableList.copyOf(confirmed), ImmutableList.of(false, false));
  }
}
