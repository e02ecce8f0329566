package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/**
 * Infers where a stream began of which no node knows the origin, for example after all nodes were
 * killed. Stateless.
 */
public final class StreamInference {
  /** What an inference rests on, or why there is none. */
  public enum Basis {
    /** An upstream runs the request that began the stream. */
    RUN,
    /** Only one version of the pool served for as long as a stream can be old. */
    HISTORY,
    /** Upstreams of several versions ran the request. */
    SEVERAL_RUNS,
    /** The version of the upstream that ran the request did not serve the pool. */
    RUN_WITHOUT_VERSION,
    /** The requests of the route may go, or went lately, to several pools. */
    SEVERAL_POOLS,
    /** The versions of the pool are not known for as long as a stream can be old. */
    HISTORY_TOO_SHORT,
    /** Only one version is known to have served, but changes up to now may be missing. */
    HISTORY_NOT_CONFIRMED,
    /** Several versions of the pool served lately, or none did. */
    SEVERAL_VERSIONS
  }

  /**
   * The result.
   *
   * @param basis what it rests on
   * @param origin where the stream began; empty if that is not certain
   */
  public record Result(Basis basis, Optional<StreamOrigins.Origin> origin) {
    private static Result none(Basis basis) {
      return new Result(basis, Optional.empty());
    }
  }

  private StreamInference() {}

  /**
   * Infers where a stream began.
   *
   * @param stream the identifier of the request that received its first event
   * @param runs where upstreams ran this request
   * @param solePool the pool to which all requests of the route went for as long as a stream can be
   *     old; empty if there were several
   * @param versionsServed the versions that served this pool in that time; empty if not known
   * @param isConfirmed whether these two include all changes up to the request of the caller
   * @return the origin, or why it is not certain
   */
  public static Result infer(
      String stream,
      ImmutableList<StreamOrigins.Origin> runs,
      Optional<String> solePool,
      Optional<ImmutableSet<String>> versionsServed,
      boolean isConfirmed) {
    if (runs.size() > 1) {
      return Result.none(Basis.SEVERAL_RUNS);
    }
    if (!runs.isEmpty()) {
      StreamOrigins.Origin run = runs.get(0);
      boolean isContradicted =
          solePool.equals(Optional.of(run.pool()))
              && versionsServed
                  .map(versions -> !versions.contains(run.softwareVersion()))
                  .orElse(false);
      return isContradicted
          ? Result.none(Basis.RUN_WITHOUT_VERSION)
          : new Result(Basis.RUN, Optional.of(run));
    }
    if (solePool.isEmpty()) {
      return Result.none(Basis.SEVERAL_POOLS);
    }
    if (versionsServed.isEmpty()) {
      return Result.none(Basis.HISTORY_TOO_SHORT);
    }
    ImmutableSet<String> versions = versionsServed.get();
    if (versions.size() != 1) {
      return Result.none(Basis.SEVERAL_VERSIONS);
    }
    if (!isConfirmed) {
      return Result.none(Basis.HISTORY_NOT_CONFIRMED);
    }
    return new Result(
        Basis.HISTORY,
        Optional.of(new StreamOrigins.Origin(stream, solePool.get(), versions.iterator().next())));
  }
}
