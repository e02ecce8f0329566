package org.cranberrystand.upstream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multimaps;
import java.util.Collection;
import java.util.Optional;

/**
 * Snapshot of all upstreams that a node knows, indexed by name and by pool.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class UpstreamDirectory {
  private static final UpstreamDirectory EMPTY = new UpstreamDirectory(ImmutableList.of());

  private final ImmutableMap<String, UpstreamRecord> byName;
  private final ImmutableListMultimap<String, UpstreamRecord> byPool;

  private UpstreamDirectory(Collection<UpstreamRecord> records) {
    this.byName =
        records.stream().collect(ImmutableMap.toImmutableMap(UpstreamRecord::name, r -> r));
    this.byPool = Multimaps.index(byName.values(), UpstreamRecord::pool);
  }

  /**
   * Returns a directory without upstreams.
   *
   * @return the empty directory
   */
  public static UpstreamDirectory empty() {
    return EMPTY;
  }

  /**
   * Creates a directory.
   *
   * @param records the upstreams; names must be unique
   * @return an immutable directory
   */
  public static UpstreamDirectory of(Collection<UpstreamRecord> records) {
    return new UpstreamDirectory(records);
  }

  public Optional<UpstreamRecord> find(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  public ImmutableList<UpstreamRecord> inPool(String pool) {
    return byPool.get(pool);
  }

  public ImmutableList<UpstreamRecord> all() {
    return byName.values().asList();
  }
}
