package org.cranberrystand.bench.policy;

import java.util.SplittableRandom;
import org.cranberrystand.bundle.WorkKind;

/**
 * Kind of work of a workload with the distribution of its lengths.
 *
 * @param kind the kind as the bundle declares it
 * @param loadShare the share of the capacity of its pool that it takes of the planned load
 * @param prefixTokens leading prompt tokens that all requests of a shop share
 * @param suffix the other prompt tokens
 * @param output the tokens to produce
 * @param serviceMillis the duration of a plain call; unused for models
 * @param isLong whether it is long work
 */
record KindSpec(
    WorkKind kind,
    double loadShare,
    int prefixTokens,
    Range suffix,
    Range output,
    Range serviceMillis,
    boolean isLong) {

  private static final int QUANTILES = 50;

  /** Range from which lengths are drawn so that their logarithm is uniform. */
  record Range(int min, int max) {
    static final Range NONE = new Range(0, 0);

    int draw(SplittableRandom random) {
      return quantile(random.nextDouble());
    }

    /** Returns the length below which a fraction of all lengths lies. */
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
    return output.max() > 0;
  }

  /** Returns the mean engine time of a request whose shop prefix is cached, in seconds. */
  double meanCostSeconds(EngineModel model) {
    double sum = 0;
    for (int i = 0; i < QUANTILES; i++) {
      int own = suffix.quantile((i + 0.5) / QUANTILES);
      for (int j = 0; j < QUANTILES; j++) {
        int produced = output.quantile((j + 0.5) / QUANTILES);
        sum += model.costSeconds(own, (double) prefixTokens + own, produced);
      }
    }
    return sum / (QUANTILES * QUANTILES);
  }

  /** Returns the mean cost of a request in tokens. */
  double meanCostTokens() {
    return prefixTokens + suffix.mean() + output.mean();
  }
}
