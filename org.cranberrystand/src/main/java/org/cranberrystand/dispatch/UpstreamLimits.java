package org.cranberrystand.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.cranberrystand.upstream.RegisteredUpstream;

/** The rate limits that upstreams state in their responses. Not thread-safe. */
public final class UpstreamLimits {
  private record Statement(double perSecond, long receivedNanos) {}

  private final Map<String, Statement> statements = new HashMap<>();

  /**
   * Records what a response says of the limit of its upstream.
   *
   * <p>Responses overtake each other, so one without a limit removes the limit only if its request
   * was sent after the limit was received.
   *
   * @param upstream the upstream
   * @param limit the stated limit
   * @param sentNanos when the request was sent
   * @param nowNanos the current time
   * @return true if the limit changed
   */
  public boolean stated(
      RegisteredUpstream upstream, RateLimit limit, long sentNanos, long nowNanos) {
    String incarnation = upstream.incarnationKey();
    Statement known = statements.get(incarnation);
    boolean isRemoval = limit.equals(RateLimit.NONE);
    boolean isOutdated = isRemoval && (known == null || sentNanos - known.receivedNanos() <= 0);
    if (!limit.isValid() || isOutdated) {
      return false;
    }
    statements.put(incarnation, new Statement(limit.perSecond(), nowNanos));
    return known == null || known.perSecond() != limit.perSecond();
  }

  /**
   * Returns the limit of an upstream.
   *
   * @param upstream the upstream
   * @return requests per second from all nodes together; infinite without a limit
   */
  public double perSecond(RegisteredUpstream upstream) {
    Statement statement = statements.get(upstream.incarnationKey());
    return statement == null ? Double.POSITIVE_INFINITY : statement.perSecond();
  }

  /**
   * Returns the number of upstreams with a limit.
   *
   * @return the number of incarnations
   */
  public int limitedCount() {
    return (int) statements.values().stream().filter(s -> Double.isFinite(s.perSecond())).count();
  }
}
