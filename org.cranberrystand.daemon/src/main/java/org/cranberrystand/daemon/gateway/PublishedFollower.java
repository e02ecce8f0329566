package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.PublishedVersion;
import org.cranberrystand.upstream.SourceContact;

/**
 * Maintains a copy of the published state by a long-polling watch of the store, and by updates from
 * other nodes while this node does not read the store or the store does not respond. Used only on
 * the event loop.
 */
final class PublishedFollower implements StateConfirmation.Source {
  /**
   * How long the first watch after a failure waits. With a longer wait, the recovery of the store
   * would be noticed late, and until some time after that, removals are treated as expired
   * registrations.
   */
  private static final int RECOVERY_WATCH_MILLIS = 10;

  /**
   * How soon a failed call is followed by another one. A waiting watch may be cut while the store
   * works, so one failed call does not show that the store is lost.
   */
  private static final long CHECK_DELAY_MILLIS = 20;

  /**
   * How long the answer to a watch may be overdue before another call checks the store. A
   * connection that went silent shows only by this.
   */
  private static final int OVERDUE_MILLIS = 200;

  /** Time allowed for this call, before the store looks absent. */
  private static final int CHECK_MILLIS = 150;

  /** Longer than any absence of which it is worth to know that the store was there. */
  private static final int MAX_STEADY_SECONDS = 120;

  private static final long MIN_RETRY_DELAY_MILLIS = 100;
  private static final long MAX_RETRY_DELAY_MILLIS = 1_000;

  /** Receives changes of the published state and of the store's availability. */
  interface Listener {
    /** The store was restored from a copy; a call of {@link #stateReplaced} follows. */
    void storeRestored();

    /** The complete state was read again. */
    void stateReplaced(PublishedState state);

    /** Some values changed. */
    void valuesChanged(PublishedState state, Iterable<PublishedValue> changes);

    /** The store no longer responds, neither to this node nor to those that read it for it. */
    void storeLost();

    /** The store responds again, to this node or to others. */
    void storeRegained();

    /**
     * The store may have been away for so long that registrations of live upstreams expired; the
     * changes since then follow.
     */
    void registrationsMayHaveExpired();

    /** The store was there all the time, though this node did not reach it. */
    void registrationsDidNotExpire();
  }

  private final EventLoop loop;
  private final PublishedStore store;
  private final Listener listener;
  private final EventLog log;
  private final SplittableRandom random;
  private PublishedState state = PublishedState.EMPTY;
  private boolean hasList;
  private final SourceContact contact;
  private int watchNumber;
  private int waitingWatchMillis;
  private boolean storeUnavailable;

  /** Whether other nodes have reached the store since this one lost it. */
  private boolean readByOthers;

  private int failedCallCount;
  private StoreRole role = StoreRole.LEADING;
  private StoreRole firstRole = StoreRole.LEADING;
  private boolean watchSuspended;
  private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
  private volatile boolean closed;

  /**
   * Creates a follower without state.
   *
   * @param heartbeatMillis the interval in which upstreams renew their registrations
   */
  PublishedFollower(
      EventLoop loop,
      PublishedStore store,
      Listener listener,
      EventLog log,
      long heartbeatMillis,
      long seed) {
    this.contact =
        new SourceContact(TimeUnit.MILLISECONDS.toNanos(heartbeatMillis), System.nanoTime());
    this.loop = loop;
    this.store = store;
    this.listener = listener;
    this.log = log;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Starts to read the store.
   *
   * @param expectedRole the role that the node will probably have; until the pause of this role
   *     after the list is over, a node of a large fleet has mostly heard of the nodes that read the
   *     store for it, and needs no watch of its own
   */
  void start(StoreRole expectedRole) {
    firstRole = expectedRole;
    readNext();
  }

  void close() {
    closed = true;
  }

  PublishedState state() {
    return state;
  }

  /** Returns whether this node reads the store itself and the store responds. */
  boolean readsStore() {
    return role != StoreRole.PASSIVE && hasList && !storeUnavailable;
  }

  /**
   * Sets how this node reads the store. A passive node reads the store once and receives later
   * changes from other nodes.
   */
  void setRole(StoreRole value) {
    if (role == value) {
      return;
    }
    role = value;
    log.write(
        LogEvent.STORE_READING_CHANGED,
        "passive=" + isPassive() + " role=" + role + " version=" + version());
    if (isPassive()) {
      return;
    }
    // A reader that takes over may be in a watch that is too long for its new role.
    if (watchSuspended || waitingWatchMillis > watchMillis()) {
      readNext();
    }
  }

  /**
   * Records whether nodes that read the store in preference to this one report that it works, as
   * the role says. While this node does not reach a store that others read, registrations go on.
   */
  void storeReadByOthers() {
    boolean isRead = !role.readsFirst();
    if (isRead) {
      recordContact();
    }
    setReadByOthers(isRead);
  }

  private void setReadByOthers(boolean isRead) {
    if (!storeUnavailable || isRead == readByOthers) {
      return;
    }
    readByOthers = isRead;
    if (isRead) {
      listener.storeRegained();
    } else {
      listener.storeLost();
    }
  }

  /**
   * Returns for how long this node has read the store without an absence in which registrations may
   * have expired, in seconds.
   */
  int storeSteadySeconds() {
    long steadyNanos = readsStore() ? contact.steadyNanos(System.nanoTime()) : 0;
    return (int) Math.min(MAX_STEADY_SECONDS, TimeUnit.NANOSECONDS.toSeconds(steadyNanos));
  }

  /**
   * Records for how long another node has read the store without such an absence. If that includes
   * the one of this node, the store was not away, and what is missing now has left.
   */
  void storeSteadyAtOther(int seconds) {
    if (seconds > 0
        && contact.confirmedSteady(TimeUnit.SECONDS.toNanos(seconds), System.nanoTime())) {
      log.write(LogEvent.REGISTRATIONS_CERTAIN, "steady_s=" + seconds + " version=" + version());
      setReadByOthers(true);
      listener.registrationsDidNotExpire();
    }
  }

  boolean isPassive() {
    return role == StoreRole.PASSIVE;
  }

  private PublishedVersion version() {
    return state.version();
  }

  /**
   * Reads the changes that this node has missed, in addition to the watch in progress, whose answer
   * may have been sent before the node stood still.
   *
   * @param receiver receives whether all changes up to now are applied; false if the store fails or
   *     has to be listed again
   */
  @Override
  public void readMissed(Consumer<Boolean> receiver) {
    store
        .watch(version(), RECOVERY_WATCH_MILLIS)
        .whenComplete(
            onLoop(
                (result, failure) -> {
                  if (failure == null
                      && result instanceof PublishedStore.Changes changes
                      && changes.version().isSameEra(version())) {
                    applyChanges(changes);
                    receiver.accept(true);
                  } else {
                    log.write(
                        LogEvent.STATE_NOT_CONFIRMED,
                        "version=" + version() + " result=" + result + " cause=" + failure);
                    receiver.accept(false);
                  }
                }));
  }

  @Override
  public boolean isStoreAvailable() {
    return !storeUnavailable;
  }

  /** Applies an update from another node if its version is newer. */
  void applyPeerUpdate(PublishedUpdate update) {
    if (!update.isApplicableTo(version())) {
      return;
    }
    log.write(
        LogEvent.STATE_FROM_PEER,
        "version="
            + update.version()
            + " known="
            + version()
            + " whole="
            + update.isSnapshot()
            + " store_lost="
            + storeUnavailable);
    recordContact();
    if (update.isSnapshot()) {
      replaceState(update.applyTo(state), "peer");
    } else {
      state = update.applyTo(state);
      apply(() -> listener.valuesChanged(state, update.values()));
    }
  }

  /** Has the listener apply the state. Its failure must not end the reading of later changes. */
  private void apply(Runnable notification) {
    try {
      notification.run();
    } catch (RuntimeException | StackOverflowError e) {
      log.write(LogEvent.TASK_FAILED, "task=apply_published_state version=" + version(), e);
    }
  }

  private void readNext() {
    watchSuspended = isPassive() && hasList && failedCallCount == 0;
    if (closed || watchSuspended) {
      return;
    }
    if (hasList) {
      int number = ++watchNumber;
      waitingWatchMillis = watchMillis();
      if (failedCallCount == 0) {
        checkAfter(number, waitingWatchMillis + OVERDUE_MILLIS);
      }
      store
          .watch(version(), waitingWatchMillis)
          .whenComplete(
              onLoop(
                  (result, failure) -> {
                    if (number == watchNumber) {
                      waitingWatchMillis = 0;
                      handleWatch(result, failure);
                    }
                  }));
    } else {
      store.list().whenComplete(onLoop(this::handleList));
    }
  }

  /** Gives a watch up that is not answered in time, unless another one has followed it. */
  private void checkAfter(int number, long delayMillis) {
    loop.schedule(
            () -> {
              if (!closed && number == watchNumber && isWatchWaiting()) {
                renewWatch("no answer " + OVERDUE_MILLIS + " ms after its end");
              }
            },
            delayMillis,
            TimeUnit.MILLISECONDS)
        .isDone();
  }

  /** Returns whether a watch is waiting, so that a change arrives without a pause. */
  boolean isWatchWaiting() {
    return waitingWatchMillis > 0;
  }

  /** Gives the waiting watch up, whose connection seems to be dead, and checks the store. */
  void renewWatch(String cause) {
    watchNumber++;
    waitingWatchMillis = 0;
    recordFailure("watch", new IOException(cause));
  }

  /**
   * Returns how long the next watch waits. The watch of the first reader ends before the silence of
   * a store without changes looks like an absence.
   */
  private int watchMillis() {
    if (failedCallCount > 0) {
      return RECOVERY_WATCH_MILLIS;
    }
    if (!role.readsFirst()) {
      return role.watchMillis();
    }
    long harmlessMillis =
        TimeUnit.NANOSECONDS.toMillis(contact.harmlessNanos(System.nanoTime()))
            - OVERDUE_MILLIS
            - CHECK_MILLIS;
    return (int) Math.max(RECOVERY_WATCH_MILLIS, Math.min(role.watchMillis(), harmlessMillis));
  }

  private <T> BiConsumer<T, Throwable> onLoop(BiConsumer<T, Throwable> action) {
    return (value, failure) -> {
      if (!closed) {
        loop.execute(() -> action.accept(value, failure));
      }
    };
  }

  private void handleList(PublishedState read, Throwable failure) {
    if (failure != null) {
      recordFailure("list", failure);
      return;
    }
    if (isOfEarlierEra(read.version())) {
      recordEarlierEra("list", read.version());
      return;
    }
    recordSuccess();
    hasList = true;
    // Pages are not a consistent snapshot: the watch reports changes made between them again.
    replaceState(version().isNewerThan(read.version()) ? state : read, "store");
    readAfter(firstRole.pauseMillis());
  }

  private void replaceState(PublishedState replacement, String source) {
    boolean hasState = !version().equals(PublishedVersion.NONE);
    if (hasState && !replacement.version().isSameEra(version())) {
      log.write(
          LogEvent.STORE_RESTORED,
          "version=" + replacement.version() + " known=" + version() + " source=" + source);
      listener.storeRestored();
    }
    state = replacement;
    apply(() -> listener.stateReplaced(state));
  }

  /** Returns whether the store sent an answer before it was restored from a copy. */
  private boolean isOfEarlierEra(PublishedVersion read) {
    return read.era() < version().era();
  }

  private void recordEarlierEra(String call, PublishedVersion read) {
    recordFailure(
        call, new IOException("answer is of version " + read + ", known is " + version()));
  }

  private void handleWatch(PublishedStore.WatchResult result, Throwable failure) {
    if (failure != null) {
      recordFailure("watch", failure);
      return;
    }
    if (result instanceof PublishedStore.Changes changes) {
      handleChanges(changes);
    } else {
      recordSuccess();
      log.write(LogEvent.HISTORY_LOST, "version=" + version());
      hasList = false;
      readNext();
    }
  }

  private void handleChanges(PublishedStore.Changes changes) {
    if (isOfEarlierEra(changes.version())) {
      recordEarlierEra("watch", changes.version());
      return;
    }
    recordSuccess();
    if (changes.version().isSameEra(version())) {
      applyChanges(changes);
    } else {
      // The revisions after the copy were assigned again, so these changes may have gaps.
      hasList = false;
    }
    if (hasList && !changes.values().isEmpty()) {
      readAfter(role.pauseMillis());
    } else {
      readNext();
    }
  }

  private void readAfter(long delayMillis) {
    loop.schedule(this::readNext, delayMillis, TimeUnit.MILLISECONDS).isDone();
  }

  /**
   * Applies changes unless the state is as new already. An answer that was delayed must not put
   * values back that were changed since.
   */
  private void applyChanges(PublishedStore.Changes changes) {
    if (!changes.version().isNewerThan(version())) {
      return;
    }
    state = state.withChanges(changes.version(), changes.values());
    if (!changes.values().isEmpty()) {
      apply(() -> listener.valuesChanged(state, changes.values()));
    }
  }

  private void recordSuccess() {
    retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    failedCallCount = 0;
    if (storeUnavailable) {
      storeUnavailable = false;
      log.write(
          LogEvent.DEPENDENCY_REGAINED,
          "dependency=store version=" + version() + " read_by_others=" + readByOthers);
      if (!readByOthers) {
        listener.storeRegained();
      }
    }
    recordContact();
  }

  private void recordContact() {
    long nowNanos = System.nanoTime();
    long silentMillis = silentMillis(nowNanos);
    if (contact.confirmed(nowNanos) && hasList) {
      log.write(
          LogEvent.REGISTRATIONS_UNCERTAIN,
          "silent_ms=" + silentMillis + " version=" + version() + " role=" + role);
      listener.registrationsMayHaveExpired();
    }
  }

  private long silentMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(contact.silentNanos(nowNanos));
  }

  private void recordFailure(String call, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    long nowNanos = System.nanoTime();
    String fields =
        "dependency=store call="
            + call
            + " version="
            + version()
            + " silent_ms="
            + silentMillis(nowNanos)
            + " cause="
            + cause;
    failedCallCount++;
    if (failedCallCount == 1 && !contact.mayHaveExpired(nowNanos)) {
      log.write(LogEvent.STORE_CALL_FAILED, fields);
      readAfter(random.nextLong(CHECK_DELAY_MILLIS));
      return;
    }
    if (!storeUnavailable) {
      storeUnavailable = true;
      readByOthers = false;
      log.write(LogEvent.DEPENDENCY_LOST, fields);
      listener.storeLost();
    }
    long delayMillis = retryDelayMillis / 2 + random.nextLong(retryDelayMillis);
    retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
    readAfter(delayMillis);
  }
}
