package org.cranberrystand.bench.jmh;

import java.lang.ref.Reference;
import java.util.function.IntFunction;

/** Measures retained memory as the difference of the used heap before and after a build. */
final class RetainedBytes {
  private static final int COLLECTIONS = 4;

  private RetainedBytes() {}

  /**
   * Returns the bytes that each of many instances retains.
   *
   * <p>The state is built twice, with few and with many instances, so that what it retains without
   * any instance does not count.
   *
   * @param few the smaller number of instances
   * @param many the larger number of instances
   * @param builder builds a fresh state with a number of instances
   */
  static double perInstance(int few, int many, IntFunction<Object> builder) {
    // The first build loads classes and fills caches that later builds share.
    retained(() -> builder.apply(few));
    long small = retained(() -> builder.apply(few));
    long large = retained(() -> builder.apply(many));
    return (double) (large - small) / (many - few);
  }

  private interface Build {
    Object run();
  }

  private static long retained(Build build) {
    long before = usedHeap();
    Object state = build.run();
    try {
      return usedHeap() - before;
    } finally {
      Reference.reachabilityFence(state);
    }
  }

  private static long usedHeap() {
    Runtime runtime = Runtime.getRuntime();
    long used = Long.MAX_VALUE;
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
    }
    return used;
  }
}
