package org.cranberrystand.bench.jmh;

import java.lang.ref.Reference;
import java.util.function.IntFunction;

/** Measures retained memory as the growth of the used heap while a state is built. */
final class RetainedBytes {
  private static final int GC_RUNS = 4;

  private RetainedBytes() {}

  /**
   * Returns the bytes that one instance retains.
   *
   * <p>Builds the state with few and with many instances and compares both, so that memory that
   * does not depend on the number of instances is excluded.
   *
   * @param fewInstances the smaller number of instances
   * @param manyInstances the larger number of instances
   * @param builder builds a new state with the given number of instances
   */
  static double perInstance(int fewInstances, int manyInstances, IntFunction<Object> builder) {
    // The first build loads classes and fills caches that later builds reuse.
    retainedBytes(() -> builder.apply(fewInstances));
    long smallBytes = retainedBytes(() -> builder.apply(fewInstances));
    long largeBytes = retainedBytes(() -> builder.apply(manyInstances));
    return (double) (largeBytes - smallBytes) / (manyInstances - fewInstances);
  }

  private interface StateFactory {
    Object create();
  }

  private static long retainedBytes(StateFactory factory) {
    long beforeBytes = usedHeapBytes();
    Object state = factory.create();
    try {
      return usedHeapBytes() - beforeBytes;
    } finally {
      Reference.reachabilityFence(state);
    }
  }

  private static long usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    long usedBytes = Long.MAX_VALUE;
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
      usedBytes = Math.min(usedBytes, runtime.totalMemory() - runtime.freeMemory());
    }
    return usedBytes;
  }
}
