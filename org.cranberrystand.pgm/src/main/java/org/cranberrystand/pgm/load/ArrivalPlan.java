package org.cranberrystand.pgm.load;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Planned arrivals of an open-loop load: a Poisson process per class, faster during floods.
 *
 * <p>The plan depends on seed, rate and mix only, never on how fast the fleet answers, so slow
 * answers cannot hide the delay of later requests. Not thread-safe.
 */
public final class ArrivalPlan {

  /**
   * One planned arrival.
   *
   * @param atSeconds when the request is sent
   * @param requestClass what is sent
   * @param number the position in the plan, from 0
   */
  public record Arrival(double atSeconds, RequestClass requestClass, long number) {}

  private final ImmutableList<RequestClass> classes;
  private final ImmutableList<Flood> floods;
  private final double[] baseRates;
  private final double maxRate;
  private final double durationSeconds;
  private final SplittableRandom random;
  private double nowSeconds;
  private long number;

  /**
   * Creates a plan.
   *
   * @param classes the classes of requests
   * @param floods the floods
   * @param ratePerSecond the arrivals per second of all classes together, without floods
   * @param durationSeconds the length of the plan
   * @param seed the seed
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
    double weights = classes.stream().mapToDouble(RequestClass::weight).sum();
    this.baseRates =
        classes.stream().mapToDouble(c -> ratePerSecond * c.weight() / weights).toArray();
    double max = 0;
    for (int i = 0; i < baseRates.length; i++) {
      max += baseRates[i] * greatestFactor(this.classes.get(i));
    }
    this.maxRate = max;
  }

  /**
   * Returns the next arrival.
   *
   * @return the arrival, or null after the end of the plan
   */
  public Arrival next() {
    while (true) {
      nowSeconds += -Math.log(1 - random.nextDouble()) / maxRate;
      if (nowSeconds >= durationSeconds) {
        return null;
      }
      // Thinning: a candidate of the greatest rate is kept with the probability of the rate now.
      double draw = random.nextDouble() * maxRate;
      for (int i = 0; i < baseRates.length; i++) {
        draw -= baseRates[i] * factorAt(classes.get(i), nowSeconds);
        if (draw < 0) {
          return new Arrival(nowSeconds, classes.get(i), number++);
        }
      }
    }
  }

  private double factorAt(RequestClass requestClass, double seconds) {
    double factor = 1;
    for (Flood flood : floods) {
      if (flood.kind().equals(requestClass.kind()) && flood.isActiveAt(seconds)) {
        factor *= flood.factor();
      }
    }
    return factor;
  }

  private double greatestFactor(RequestClass requestClass) {
    double product = 1;
    for (Flood flood : floods) {
      if (flood.kind().equals(requestClass.kind())) {
        product *= Math.max(1, flood.factor());
      }
    }
    return product;
  }
}
