package org.cranberrystand.placement;

import static org.testng.Assert.assertEquals;

import com.google.common.primitives.ImmutableLongArray;
import org.testng.annotations.Test;

/** Tests of {@link PrefixIndex}. */
public class PrefixIndexTest {
  private static final ImmutableLongArray BLOCKS = ImmutableLongArray.of(1, 2, 3, 4);
  private static final ImmutableLongArray NONE = ImmutableLongArray.of();

  private static double cachedBlocksAfterGap(CacheGapPolicy policy) {
    PrefixIndex index = new PrefixIndex(100, policy);
    index.recordStored("a", BLOCKS);
    index.applyCacheEvents("a", NONE, NONE, true);
    return index.cachedBlocks("a", BLOCKS);
  }

  /** Guards against gap policies that treat entries from before a gap alike. */
  @Test
  public void gapPoliciesCountOldEntriesDifferently() {
    assertEquals(cachedBlocksAfterGap(CacheGapPolicy.DROP), 0.0);
    assertEquals(cachedBlocksAfterGap(CacheGapPolicy.KEEP), 4.0);
    assertEquals(cachedBlocksAfterGap(CacheGapPolicy.UNCERTAIN), 2.0);
  }

  /** Guards against entries that stay uncertain although a later event confirms them. */
  @Test
  public void laterObservationConfirmsUncertainEntries() {
    PrefixIndex index = new PrefixIndex(100, CacheGapPolicy.UNCERTAIN);
    index.recordStored("a", BLOCKS);
    index.applyCacheEvents("a", NONE, NONE, true);
    index.applyCacheEvents("a", ImmutableLongArray.of(1, 2), NONE, false);
    assertEquals(index.cachedBlocks("a", BLOCKS), 3.0);
  }

  /** Guards against counting blocks that follow an evicted block. */
  @Test
  public void evictedBlockEndsThePrefix() {
    PrefixIndex index = new PrefixIndex(100, CacheGapPolicy.UNCERTAIN);
    index.recordStored("a", BLOCKS);
    index.applyCacheEvents("a", NONE, ImmutableLongArray.of(2), false);
    assertEquals(index.cachedBlocks("a", BLOCKS), 1.0);
  }

  /** Guards against unbounded growth of the index. */
  @Test
  public void numberOfBlocksIsBounded() {
    PrefixIndex index = new PrefixIndex(100, CacheGapPolicy.UNCERTAIN);
    for (long i = 0; i < 1_000; i++) {
      index.recordStored("a", ImmutableLongArray.of(i));
    }
    assertEquals(index.blockCount(), 100);
  }
}
