package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletionStage;

/**
 * The service in which operators and upstreams publish; it can only be read.
 *
 * <p>Stages complete on any thread, exceptionally if the service does not answer in time or
 * refuses.
 */
public interface PublishedStore extends AutoCloseable {

  /** What a watch returned. */
  sealed interface WatchResult {}

  /**
   * The changes since the revision that was asked for.
   *
   * @param revision the revision up to which they reach
   * @param values the changes in order; empty if there was none in time
   */
  record Changes(long revision, ImmutableList<PublishedValue> values) implements WatchResult {}

  /** The service does not keep the changes since that revision any more. */
  record HistoryLost() implements WatchResult {}

  /**
   * Reads all values.
   *
   * @return the values and a revision from which a watch misses nothing
   */
  CompletionStage<PublishedState> list();

  /**
   * Waits for changes.
   *
   * @param afterRevision the last revision that is known
   * @param waitMillis how long to wait if there is none, in milliseconds
   * @return the changes, or that they are lost
   */
  CompletionStage<WatchResult> watch(long afterRevision, int waitMillis);

  @Override
  void close();
}
