package org.cranberrystand.bench.capacity;

import java.util.List;

/**
 * Straight line that fits measured points by least squares.
 *
 * @param intercept the value at 0
 * @param slope the increase of the value per unit of size
 */
public record LinearFit(double intercept, double slope) {

  /**
   * One measured point.
   *
   * @param size the size at which the value was measured
   * @param value the measured value
   */
  public record Point(double size, double value) {}

  /**
   * Fits a line.
   *
   * @param points at least two points with different sizes
   * @return the line with the least sum of squared errors
   * @throws IllegalArgumentException if all sizes are equal
   */
  public static LinearFit fit(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.size() - meanSize) * (point.value() - meanValue);
      variance += (point.size() - meanSize) * (point.size() - meanSize);
    }
    if (variance <= 0) {
      throw new IllegalArgumentException("cannot fit a line: all sizes equal " + meanSize);
    }
    double slope = covariance / variance;
    return new LinearFit(meanValue - slope * meanSize, slope);
  }

  /**
   * Returns the value of the line at a size.
   *
   * @param size the size
   * @return the extrapolated or interpolated value
   */
  public double at(double size) {
    return intercept + slope * size;
  }
}
