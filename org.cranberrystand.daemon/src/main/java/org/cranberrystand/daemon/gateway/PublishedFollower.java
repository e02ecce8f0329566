package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.event.LogEvent;

/**
 * Keeps a copy of what is published, by one waiting watch, and by other nodes while the store does
 * not answer. Used on the event loop only.
 */
final class PublishedFollower {
  /**
   * How long a watch waits without change. Short, because a connection that went silent shows only
   * by the end of this time, and changes must be in force within about 2 s.
   */
  private static final int WATCH_MILLIS = 2_500;

  /**
   * How long the first watch after a failure waits. A longer one would tell of the return of the
   * store only with its answer, and removals are taken for expired entries until some time after.
   */
  private static final int RESUME_MILLIS = 10;

  private static final long MIN_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 1_000;

  /** Receives what changed. */
  interface Listener {
    /** The whole state was read anew. */
    void replaced(PublishedState state);

    /** Some values changed. */
    void changed(PublishedState state, Iterable<PublishedValue> changes);

    /** The store does not answer. */
    void sourceLost();

    /** The store answers again. */
    void sourceRegained();
  }

  private final EventLoop loop;
  private final PublishedStore store;
  private final Listener listener;
  private final EventLog log;
  private final SplittableRandom random;
  private PublishedState state = PublishedState.EMPTY;
  private boolean listed;
  private boolean lost;
  private boolean passive;
  private boolean resting;
  private long retryMillis = MIN_RETRY_MILLIS;
  private volatile boolean closed;

  PublishedFollower(
      EventLoop loop, PublishedStore store, Listener listener, EventLog log, long seed) {
    this.loop = loop;
    this.store = store;
    this.listener = listener;
    this.log = log;
    this.random = new SplittableRandom(seed);
  }

  void start() {
    next();
  }

  void close() {
    closed = true;
  }

  PublishedState state() {
    return state;
  }

  /** Returns whether the store itself is read, and answers. */
  boolean followsStore() {
    return !passive && listed && !lost;
  }

  /**
   * Sets whether other nodes read the store for this one. A passive node has read it once and takes
   * what it hears of later from other nodes.
   */
  void setPassive(boolean value) {
    if (passive == value) {
      return;
    }
    passive = value;
    log.write(LogEvent.STORE_READING_CHANGED, "passive=" + passive + " revision=" + revision());
    if (!passive && resting) {
      next();
    }
  }

  boolean isPassive() {
    return passive;
  }

  private long revision() {
    return state.revision();
  }

  /** Takes what another node knows if it is newer. */
  void offered(PublishedUpdate update) {
    if (update.revision() <= revision()) {
      return;
    }
    log.write(
        LogEvent.STATE_FROM_PEER,
        "revision="
            + update.revision()
            + " known="
            + revision()
            + " whole="
            + update.whole()
            + " store_lost="
            + lost);
    state = update.appliedTo(state);
    if (update.whole()) {
      listener.replaced(state);
    } else {
      listener.changed(state, update.values());
    }
  }

  private void next() {
    resting = passive && listed && !lost;
    if (closed || resting) {
      return;
    }
    if (listed) {
      store
          .watch(state.revision(), lost ? RESUME_MILLIS : WATCH_MILLIS)
          .whenComplete(onLoop(this::watched));
    } else {
      store.list().whenComplete(onLoop(this::listed));
    }
  }

  private <T> BiConsumer<T, Throwable> onLoop(BiConsumer<T, Throwable> action) {
    return (value, failure) -> {
      if (!closed) {
        loop.execute(() -> action.accept(value, failure));
      }
    };
  }

  private void listed(PublishedState read, Throwable failure) {
    if (failure != null) {
      failed("list", failure);
      return;
    }
    answered();
    listed = true;
    // Pages are not a snapshot: what changed between them comes again by the watch.
    state = read.revision() >= state.revision() ? read : state;
    listener.replaced(state);
    next();
  }

  private void watched(PublishedStore.WatchResult result, Throwable failure) {
    if (failure != null) {
      failed("watch", failure);
      return;
    }
    answered();
    if (result instanceof PublishedStore.Changes changes) {
      long before = state.revision();
      state = state.with(changes.revision(), changes.values());
      if (!changes.values().isEmpty() && state.revision() > before) {
        listener.changed(state, changes.values());
      }
    } else {
      log.write(LogEvent.HISTORY_LOST, "revision=" + state.revision());
      listed = false;
    }
    next();
  }

  private void answered() {
    retryMillis = MIN_RETRY_MILLIS;
    if (lost) {
      lost = false;
      log.write(LogEvent.DEPENDENCY_REGAINED, "dependency=store revision=" + state.revision());
      listener.sourceRegained();
    }
  }

  private void failed(String call, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (!lost) {
      lost = true;
      log.write(
          LogEvent.DEPENDENCY_LOST,
          "dependency=store call=" + call + " revision=" + state.revision() + " cause=" + cause);
      listener.sourceLost();
    }
    long delay = retryMillis / 2 + random.nextLong(retryMillis);
    retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
    loop.schedule(this::next, delay, TimeUnit.MILLISECONDS).isDone();
  }
}
