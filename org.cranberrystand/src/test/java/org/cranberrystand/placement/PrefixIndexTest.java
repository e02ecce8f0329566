package org.cranberrystand.placement;

import static org.testng.Assert.assertEquals;

import com.google.common.primitives.ImmutableLongArray;
import org.testng.annotations.Test;

/** Tests of {@link PrefixIndex}. */
public class PrefixIndexTest {
  private static final ImmutableLongArray BLOCKS = ImmutableLongArray.of(1, 2, 3, 4);
  private static final ImmutableLongArray NONE = ImmutableLongArray.of();

  private static double afterGap(CacheGapPolicy policy) {
    PrefixIndex index = new PrefixIndex(100, policy);
    index.stored("a", BLOCKS);
    index.reported("a", NONE, NONE, true);
    return index.cachedBlocks("a", BLOCKS);
  }

  /** Guards against gap policies that do not differ. */
  @Test
  public void gapPoliciesCountOldEntriesDifferently() {
    assertEquals(afterGap(CacheGapPolicy.DROP), 0.0);
    assertEquals(afterGap(CacheGapPolicy.KEEP), 4.0);
    assertEquals(afterGap(CacheGapPolicy.UNCERTAIN), 2.0);
  }

  /** Guards against entries that stay uncertain although a later event confirms them. */
  @Test
  public void laterObservationConfirmsUncertainEntries() {
    PrefixIndex index = new PrefixIndex(100, CacheGapPolicy.UNCERTAIN);
    index.stored("a", BLOCKS);
    index.reported("a", NONE, NONE, true);
    index.reported("a", ImmutableLongArray.of(1, 2), NONE, false);
    assertEquals(index.cachedBlocks("a", BLOCKS), 3.0);
  }

  /** Guards against counting blocks behind an evicted one. */
  @Test
  public void evictedBlockEndsThePrefix() {
    PrefixIndex index = new PrefixIndex(100, CacheGapPolicy.UNCERTAIN);
    index.stored("a", BLOCKS);
    index.reported("a", NONE, ImmutableLongArray.of(2), false);
    assertEquals(index.cachedBlocks("a", BLOCKS), 1.0);
  }

  /** Guards against an index that grows without bound. */
  @Test
  public void numberOfBlocksIsBounded() {
    PrefixIndex index = new PrefixIndex(100, CacheGapPolicy.UNCERTAIN);
    for (long i = 0; i < 1_000; i++) {
      index.stored("a", ImmutableLongArray.of(i));
    }
    assertEquals(index.size(), 100);
  }
}
