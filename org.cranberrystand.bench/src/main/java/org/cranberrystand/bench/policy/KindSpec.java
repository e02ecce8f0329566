package org.cranberrystand.bench.policy;

import java.util.SplittableRandom;
import org.cranberrystand.bundle.WorkKind;

/**
 * Kind of work in a workload with the distributions of its lengths.
 *
 * @param kind the kind as the bundle declares it
 * @param loadShare the fraction of the capacity of its pool that it uses at a team load of 1
 * @param prefixTokens the length of the prompt prefix that all requests of a shop share
 * @param suffixTokens the length of the rest of the prompt
 * @param outputTokens the number of tokens to generate; {@link Range#NONE} for plain services
 * @param serviceMillis the duration of a call to a plain service; unused for models
 * @param isLong whether requests have long prompts and outputs
 */
record KindSpec(
    WorkKind kind,
    double loadShare,
    int prefixTokens,
    Range suffixTokens,
    Range outputTokens,
    Range serviceMillis,
    boolean isLong) {

  private static final int QUANTILE_COUNT = 50;

  /** Log-uniform distribution of lengths between two bounds. */
  record Range(int min, int max) {
    static final Range NONE = new Range(0, 0);

    int sample(SplittableRandom random) {
      return quantile(random.nextDouble());
    }

    /** Returns the quantile at the given fraction, rounded and at most {@code max}. */
    int quantile(double fraction) {
      if (min == max) {
        return min;
      }
      double logarithm = Math.log(min) + fraction * Math.log((double) max / min);
      return (int) Math.min(max, Math.round(Math.exp(logarithm)));
    }

    /** Returns the mean of the distribution. */
    double mean() {
      return min == max ? min : (max - min) / Math.log((double) max / min);
    }
  }

  boolean isModel() {
    return outputTokens.max() > 0;
  }

  /** Returns the mean engine time in seconds of a request whose shared prefix is cached. */
  double meanCostSeconds(EngineModel model) {
    double sum = 0;
    for (int i = 0; i < QUANTILE_COUNT; i++) {
      int sampledSuffix = suffixTokens.quantile((i + 0.5) / QUANTILE_COUNT);
      for (int j = 0; j < QUANTILE_COUNT; j++) {
        int sampledOutput = outputTokens.quantile((j + 0.5) / QUANTILE_COUNT);
        sum +=
            model.costSeconds(sampledSuffix, (double) prefixTokens + sampledSuffix, sampledOutput);
      }
    }
    return sum / (QUANTILE_COUNT * QUANTILE_COUNT);
  }

  /** Returns the mean cost of a request in tokens. */
  double meanCostTokens() {
    return prefixTokens + suffixTokens.mean() + outputTokens.mean();
  }
}
