package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.cranberrystand.membership.PublishedVersion;

/**
 * Reads all changes that the store retains up to a version.
 *
 * <p>The store does not say which is the oldest one; a watch from a revision tells whether the
 * changes after it are retained. Used for one read, on the event loop.
 */
final class StoreHistory {
  private static final int WATCH_MILLIS = 10;

  /** Between two tries, the distance from the newest version grows by this factor. */
  private static final int DISTANCE_FACTOR = 4;

  /** More than a search among the revisions of a year takes. */
  private static final int MAX_CALLS = 80;

  /**
   * What the store retains.
   *
   * @param isComplete whether nothing was dropped since the store began
   * @param changes the changes in order
   */
  record Retained(boolean isComplete, ImmutableList<PublishedValue> changes) {}

  private final EventLoop loop;
  private final PublishedStore store;
  private final PublishedVersion newest;
  private final CompletableFuture<Retained> result = new CompletableFuture<>();
  private ImmutableList<PublishedValue> changes = ImmutableList.of();
  private long retainedAfter;
  private long droppedAfter = -1;
  private int callCount;

  private StoreHistory(EventLoop loop, PublishedStore store, PublishedVersion newest) {
    this.loop = loop;
    this.store = store;
    this.newest = newest;
    this.retainedAfter = newest.revision();
  }

  /**
   * Reads the changes.
   *
   * @param loop the event loop, on which the stage completes
   * @param store the store
   * @param newest the version up to which changes are read
   * @return the changes; completes exceptionally if the store fails or is restored meanwhile
   */
  static CompletionStage<Retained> read(
      EventLoop loop, PublishedStore store, PublishedVersion newest) {
    StoreHistory read = new StoreHistory(loop, store, newest);
    read.tryAfter(0);
    return read.result;
  }

  private void tryNext() {
    if (retainedAfter - droppedAfter <= 1) {
      result.complete(new Retained(retainedAfter == 0, changes));
    } else if (callCount >= MAX_CALLS) {
      result.completeExceptionally(
          new IOException("oldest retained change not found after " + callCount + " calls"));
    } else {
      tryAfter(nextRevision());
    }
  }

  /** Goes back from the newest change until one is dropped, then halves what is left. */
  private long nextRevision() {
    boolean isBounded = droppedAfter > 0;
    if (isBounded) {
      return (retainedAfter + droppedAfter) / 2;
    }
    long distance = Math.max(1, DISTANCE_FACTOR * (newest.revision() - retainedAfter));
    return Math.max(1, newest.revision() - distance);
  }

  private void tryAfter(long revision) {
    callCount++;
    store
        .watch(new PublishedVersion(newest.era(), revision), WATCH_MILLIS)
        .whenComplete(
            (answer, failure) -> loop.execute(() -> handleAnswer(revision, answer, failure)));
  }

  private void handleAnswer(long revision, PublishedStore.WatchResult answer, Throwable failure) {
    if (failure != null) {
      result.completeExceptionally(failure);
    } else if (!(answer instanceof PublishedStore.Changes retained)) {
      droppedAfter = Math.max(droppedAfter, revision);
      tryNext();
    } else if (!retained.version().isSameEra(newest)) {
      result.completeExceptionally(
          new IOException("store restored from " + newest + " to " + retained.version()));
    } else {
      retainedAfter = Math.min(retainedAfter, revision);
      changes = retained.values();
      tryNext();
    }
  }
}
