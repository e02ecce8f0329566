package org.cranberrystand.pgm.load;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Planned arrivals of an open-loop load: a Poisson process per request class, whose rate is
 * multiplied during floods.
 *
 * <p>The plan is a function of the options and the seed and does not depend on response times,
 * which avoids coordinated omission: slow answers do not postpone later requests. Not thread-safe.
 */
public final class ArrivalPlan {

  /**
   * One planned arrival.
   *
   * @param atSeconds the planned send time in seconds since the start of the plan
   * @param requestClass the class of the request
   * @param index the index in the plan, from 0
   */
  public record Arrival(double atSeconds, RequestClass requestClass, long index) {}

  private final ImmutableList<RequestClass> classes;
  private final ImmutableList<Flood> floods;
  private final double[] baseRatesPerSecond;
  private final double maxRatePerSecond;
  private final double durationSeconds;
  private final SplittableRandom random;
  private double nowSeconds;
  private long index;

  /**
   * Creates a plan that starts at time 0.
   *
   * @param classes the request classes
   * @param floods the intervals with a higher rate
   * @param ratePerSecond the total arrival rate of all classes, without floods
   * @param durationSeconds the duration of the plan
   * @param seed the seed of the random numbers
   */
  public ArrivalPlan(
      List<RequestClass> classes,
      List<Flood> floods,
      double ratePerSecond,
      double durationSeconds,
      long seed) {
    this.classes = ImmutableList.copyOf(classes);
    this.floods = ImmutableList.copyOf(floods);
    this.durationSeconds = durationSeconds;
    this.random = new SplittableRandom(seed);
    double totalWeight = classes.stream().mapToDouble(RequestClass::weight).sum();
    this.baseRatesPerSecond =
        classes.stream().mapToDouble(c -> ratePerSecond * c.weight() / totalWeight).toArray();
    double maxRateSum = 0;
    for (int i = 0; i < baseRatesPerSecond.length; i++) {
      maxRateSum += baseRatesPerSecond[i] * maxRateFactor(this.classes.get(i));
    }
    this.maxRatePerSecond = maxRateSum;
  }

  /**
   * Returns the next arrival in order of time.
   *
   * @return the arrival, or null after the end of the plan
   */
  public Arrival next() {
    while (true) {
      nowSeconds += -Math.log(1 - random.nextDouble()) / maxRatePerSecond;
      if (nowSeconds >= durationSeconds) {
        return null;
      }
      // Thinning: candidates arrive at the maximum rate, and each is accepted with the probability
      // of the current rate divided by the maximum rate.
      double draw = random.nextDouble() * maxRatePerSecond;
      for (int i = 0; i < baseRatesPerSecond.length; i++) {
        draw -= baseRatesPerSecond[i] * rateFactorAt(classes.get(i), nowSeconds);
        if (draw < 0) {
          return new Arrival(nowSeconds, classes.get(i), index++);
        }
      }
    }
  }

  private double rateFactorAt(RequestClass requestClass, double seconds) {
    double factor = 1;
    for (Flood flood : floods) {
      if (flood.kind().equals(requestClass.kind()) && flood.isActiveAt(seconds)) {
        factor *= flood.factor();
      }
    }
    return factor;
  }

  private double maxRateFactor(RequestClass requestClass) {
    double product = 1;
    for (Flood flood : floods) {
      if (flood.kind().equals(requestClass.kind())) {
        product *= Math.max(1, flood.factor());
      }
    }
    return product;
  }
}
