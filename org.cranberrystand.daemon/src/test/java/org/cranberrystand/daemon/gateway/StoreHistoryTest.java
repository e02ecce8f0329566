package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.common.collect.ImmutableList;
import io.netty.channel.DefaultEventLoop;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.cranberrystand.membership.PublishedVersion;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class StoreHistoryTest {
  private static final int TIMEOUT_SECONDS = 5;
  private static final long NEWEST = 10_000;

  /** Store that retains the changes after a revision. */
  private static final class RetainingStore implements PublishedStore {
    private final long retainedAfter;
    private long era;
    private int callCount;

    RetainingStore(long retainedAfter) {
      this.retainedAfter = retainedAfter;
    }

    @Override
    public CompletionStage<PublishedState> list() {
      throw new UnsupportedOperationException("not used");
    }

    @Override
    public CompletionStage<WatchResult> watch(PublishedVersion after, int waitMillis) {
      callCount++;
      if (after.revision() < retainedAfter) {
        return CompletableFuture.completedFuture(new HistoryLost());
      }
      ImmutableList<PublishedValue> changes =
          LongStream.rangeClosed(after.revision() + 1, NEWEST)
              .mapToObj(revision -> new PublishedValue("k" + revision, revision, "v"))
              .collect(ImmutableList.toImmutableList());
      return CompletableFuture.completedFuture(
          new Changes(new PublishedVersion(era, NEWEST), changes));
    }

    @Override
    public void close() {
      // Nothing to close.
    }
  }

  private DefaultEventLoop loop;

  @BeforeMethod
  public void startLoop() {
    loop = new DefaultEventLoop();
  }

  @AfterMethod(alwaysRun = true)
  public void stopLoop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private StoreHistory.Retained read(PublishedStore store) throws Exception {
    return StoreHistory.read(loop, store, new PublishedVersion(0, NEWEST))
        .toCompletableFuture()
        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @DataProvider
  public Object[][] oldest() {
    return new Object[][] {{0L}, {1L}, {2L}, {NEWEST - 300}, {NEWEST - 5}, {NEWEST - 1}, {NEWEST}};
  }

  /** Guards against missing retained changes, and against a call for each revision. */
  @Test(dataProvider = "oldest")
  public void allRetainedChangesAreFoundWithFewCalls(long retainedAfter) throws Exception {
    RetainingStore store = new RetainingStore(retainedAfter);
    StoreHistory.Retained retained = read(store);

    assertEquals(retained.changes().size(), NEWEST - retainedAfter);
    assertEquals(retained.isComplete(), retainedAfter == 0);
    // One call for the beginning, then two searches whose steps grow with the logarithm.
    double bits = Math.log((double) (1 + NEWEST - retainedAfter)) / Math.log(2);
    assertTrue(store.callCount <= 3 + 2.5 * bits, "calls: " + store.callCount);
  }

  /** Guards against taking a store that fails, or was restored, for one without changes. */
  @Test
  public void failureIsNoHistory() {
    RetainingStore restored = new RetainingStore(0);
    restored.era = 1;
    ExecutionException failure = expectThrows(ExecutionException.class, () -> read(restored));
    assertTrue(failure.getCause() instanceof IOException, failure.toString());
    assertThrows(ExecutionException.class, () -> read(new FailingStore()));
  }

  /** Store whose calls fail. */
  private static final class FailingStore implements PublishedStore {
    @Override
    public CompletionStage<PublishedState> list() {
      return CompletableFuture.failedFuture(new IOException("away"));
    }

    @Override
    public CompletionStage<WatchResult> watch(PublishedVersion after, int waitMillis) {
      return CompletableFuture.failedFuture(new IOException("away"));
    }

    @Override
    public void close() {
      // Nothing to close.
    }
  }
}
