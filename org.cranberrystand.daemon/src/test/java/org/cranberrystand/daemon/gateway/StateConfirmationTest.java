package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import io.netty.channel.DefaultEventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class StateConfirmationTest {
  private static final int TIMEOUT_SECONDS = 5;
  private static final int REQUESTS = 50;

  /** Store whose calls are answered by the test. */
  private static final class ScriptedSource implements StateConfirmation.Source {
    private final BlockingQueue<Consumer<Boolean>> calls = new LinkedBlockingQueue<>();
    private volatile boolean available = true;

    @Override
    public boolean isStoreAvailable() {
      return available;
    }

    @Override
    public void readMissed(Consumer<Boolean> receiver) {
      calls.add(receiver);
    }
  }

  private final List<Boolean> results = Collections.synchronizedList(new ArrayList<>());
  private DefaultEventLoop loop;
  private ScriptedSource source;
  private StateConfirmation confirmation;

  @BeforeMethod
  public void createConfirmation() {
    results.clear();
    loop = new DefaultEventLoop();
    source = new ScriptedSource();
    confirmation = new StateConfirmation(loop, source, () -> 1);
  }

  @AfterMethod(alwaysRun = true)
  public void stopLoop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private void onLoop(Runnable action) throws Exception {
    loop.submit(action).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void confirm(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      onLoop(() -> confirmation.confirm(results::add));
    }
  }

  private void answerNextCall(boolean isConfirmed) throws Exception {
    Consumer<Boolean> call = source.calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertTrue(call != null, "no call of the store");
    onLoop(() -> call.accept(isConfirmed));
  }

  /** Guards against an answer that confirms a request which came after its call was sent. */
  @Test
  public void callInProgressDoesNotConfirmALaterRequest() throws Exception {
    confirm(1);
    confirm(1);
    answerNextCall(true);
    assertEquals(results, ImmutableList.of(true));

    answerNextCall(true);
    assertEquals(results, ImmutableList.of(true, true));
  }

  /** Guards against one call of the store for each of many unknown streams. */
  @Test
  public void requestsThatComeDuringACallShareTheNextOne() throws Exception {
    confirm(1 + REQUESTS);
    answerNextCall(true);
    answerNextCall(true);

    assertEquals(results, Collections.nCopies(1 + REQUESTS, true));
    assertTrue(source.calls.isEmpty());
  }

  /** Guards against refusing streams because a single call of the store failed. */
  @Test
  public void failedCallIsRepeated() throws Exception {
    confirm(1);
    answerNextCall(false);
    answerNextCall(true);

    assertEquals(results, ImmutableList.of(true));
  }

  /** Guards against callers that wait for a store which does not answer. */
  @Test
  public void silentStoreConfirmsNothingInTime() throws Exception {
    confirm(REQUESTS);
    TimeUnit.MILLISECONDS.sleep(1_000);

    assertEquals(results, Collections.nCopies(REQUESTS, false));
    confirm(1);
    Consumer<Boolean> late = source.calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    onLoop(() -> late.accept(true));
    assertEquals(results, Collections.nCopies(REQUESTS, false));
  }

  /** Guards against refusing streams after the return of a store that was lost. */
  @Test
  public void storeThatIsBackConfirmsAtOnce() throws Exception {
    source.available = false;
    confirm(1);
    answerNextCall(true);

    assertEquals(results, ImmutableList.of(true));
  }

  /** Guards against repeated calls of a store that is lost. */
  @Test
  public void lostStoreIsCalledOnce() throws Exception {
    source.available = false;
    confirm(1);
    answerNextCall(false);

    assertEquals(results, ImmutableList.of(false));
    assertTrue(source.calls.isEmpty());
  }
}
