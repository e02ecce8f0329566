package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;
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
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PublishedFollowerTest {
  private static final int TIMEOUT_SECONDS = 5;

  /** Store whose responses are provided by the test. */
  private static final class ScriptedStore implements PublishedStore {
    private record Watch(
        long afterRevision, int waitMillis, CompletableFuture<WatchResult> answer) {}

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
    public CompletionStage<WatchResult> watch(long afterRevision, int waitMillis) {
      Watch watch = new Watch(afterRevision, waitMillis, new CompletableFuture<>());
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

    @Override
    public void stateReplaced(PublishedState state) {
      calls.add("replaced " + state.revision());
    }

    @Override
    public void valuesChanged(PublishedState state, Iterable<PublishedValue> changes) {
      calls.add("changed " + state.revision());
    }

    @Override
    public void storeLost() {
      calls.add("lost");
    }

    @Override
    public void storeRegained() {
      calls.add("regained");
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
    follower = new PublishedFollower(loop, store, listener, new EventLog("n1"), 1);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    follower.close();
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /**
   * Guards against noticing the recovery of the store only at the end of a long watch. Removals
   * were treated as expired registrations until then, and an upstream that had left got requests
   * for another 2.2 s.
   */
  @Test
  public void returnOfTheStoreIsNoticedAtOnce() throws Exception {
    loop.execute(follower::start);
    store.nextList().complete(new PublishedState(7, ImmutableMap.of()));
    assertEquals(listener.next(), "replaced 7");
    ScriptedStore.Watch first = store.nextWatch();
    assertTrue(first.waitMillis() > 1_000);
    first.answer().completeExceptionally(new IOException("connection lost"));
    assertEquals(listener.next(), "lost");

    ScriptedStore.Watch resumed = store.nextWatch();
    assertEquals(resumed.afterRevision(), 7);
    assertTrue(resumed.waitMillis() <= 100, "waits " + resumed.waitMillis());
    resumed.answer().complete(new PublishedStore.Changes(7, ImmutableList.of()));
    assertEquals(listener.next(), "regained");
    assertTrue(store.nextWatch().waitMillis() > 1_000);
  }

  private void onLoop(Runnable action) throws Exception {
    loop.submit(action).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Guards against every node polling the store for every change. */
  @Test
  public void passiveNodeLeavesTheStoreToOthersUntilItIsNeeded() throws Exception {
    onLoop(() -> follower.setPassive(true));
    onLoop(follower::start);
    store.nextList().complete(new PublishedState(7, ImmutableMap.of()));
    assertEquals(listener.next(), "replaced 7");
    assertTrue(store.watches.isEmpty());

    PublishedValue value = new PublishedValue("k", 9, "v");
    onLoop(() -> follower.applyPeerUpdate(new PublishedUpdate(9, false, ImmutableList.of(value))));
    assertEquals(listener.next(), "changed 9");

    onLoop(() -> follower.setPassive(false));
    assertEquals(store.nextWatch().afterRevision(), 9);
  }
}
