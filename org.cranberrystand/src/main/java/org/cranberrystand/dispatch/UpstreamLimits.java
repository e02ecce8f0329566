package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * The rate limits that upstreams state in their responses to this node and to others.
 *
 * <p>The newest statement about an upstream holds. Statements are passed on to other nodes with
 * their age, because an upstream answers only some of the nodes. Not thread-safe.
 */
public final class UpstreamLimits {
  /** The interval between requests of a node that must not send any. */
  public static final long NEVER = Long.MAX_VALUE;

  /** Limits the size of a report; statements beyond this number reach nodes in responses. */
  private static final int MAX_REPORTED = 32;

  /** Nodes that do not use a limited upstream learn of the end of the limit from reports only. */
  private static final long REMOVAL_REPORT_NANOS = 30_000_000_000L;

  /** Incarnations of upstreams that have ended are not announced, so their entries expire. */
  private static final long RETENTION_NANOS = 600_000_000_000L;

  private record Statement(double perSecond, long receivedNanos) {}

  /**
   * A statement as passed on to other nodes.
   *
   * @param incarnation the {@linkplain RegisteredUpstream#incarnationKey key} of the incarnation
   * @param perSecond requests per second; infinite without a limit
   * @param ageNanos the time since the response, in nanoseconds
   */
  public record Report(String incarnation, double perSecond, long ageNanos) {}

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
    Statement known = statements.get(upstream.incarnationKey());
    boolean isRemoval = limit.equals(RateLimit.NONE);
    boolean isOutdated = isRemoval && (known == null || sentNanos - known.receivedNanos() <= 0);
    return limit.isValid()
        && !isOutdated
        && put(upstream.incarnationKey(), new Statement(limit.perSecond(), nowNanos));
  }

  /**
   * Processes a statement that another node received.
   *
   * @param report the statement
   * @param nowNanos the current time
   * @return true if the limit changed
   */
  public boolean reported(Report report, long nowNanos) {
    Statement known = statements.get(report.incarnation());
    long receivedNanos = nowNanos - report.ageNanos();
    boolean isUsable =
        report.ageNanos() >= 0 && report.ageNanos() < RETENTION_NANOS && report.perSecond() >= 0;
    boolean isNewer = known == null || receivedNanos - known.receivedNanos() > 0;
    return isUsable
        && isNewer
        && put(report.incarnation(), new Statement(report.perSecond(), receivedNanos));
  }

  private boolean put(String incarnation, Statement statement) {
    Statement before = statements.put(incarnation, statement);
    double perSecondBefore = before == null ? Double.POSITIVE_INFINITY : before.perSecond();
    return perSecondBefore != statement.perSecond();
  }

  /**
   * Returns the statements to pass on to other nodes.
   *
   * @param nowNanos the current time
   * @return the newest statements
   */
  public ImmutableList<Report> reports(long nowNanos) {
    return statements.entrySet().stream()
        .map(
            entry ->
                new Report(
                    entry.getKey(),
                    entry.getValue().perSecond(),
                    nowNanos - entry.getValue().receivedNanos()))
        .filter(
            report ->
                Double.isFinite(report.perSecond()) || report.ageNanos() < REMOVAL_REPORT_NANOS)
        .sorted(Comparator.comparingLong(Report::ageNanos))
        .limit(MAX_REPORTED)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Removes statements that have not been repeated for long.
   *
   * @param nowNanos the current time
   */
  public void expire(long nowNanos) {
    statements.values().removeIf(one -> nowNanos - one.receivedNanos() >= RETENTION_NANOS);
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
