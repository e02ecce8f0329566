package org.cranberrystand.bench.capacity;

import java.util.List;

/**
 * Straight line through measured points, by least squares.
 *
 * @param intercept the value at 0
 * @param perUnit the growth of the value per unit
 */
public record Slope(double intercept, double perUnit) {

  /**
   * One measured point.
   *
   * @param size the size at which was measured
   * @param value the measured value
   */
  public record Point(double size, double value) {}

  /**
   * Fits a line.
   *
   * @param points at least two points with different sizes
   * @return the line with the least squared error
   * @throws IllegalArgumentException if all sizes are equal
   */
  public static Slope fit(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.size() - meanSize) * (point.value() - meanValue);
      variance += (point.size() - meanSize) * (point.size() - meanSize);
    }
    if (variance <= 0) {
      throw new IllegalArgumentException("a line needs points of different sizes");
    }
    double perUnit = covariance / variance;
    return new Slope(meanValue - perUnit * meanSize, perUnit);
  }

  /**
   * Returns the value at a size.
   *
   * @param size the size
   * @return the value on the line
   */
  public double at(double size) {
    return intercept + perUnit * size;
  }
}
