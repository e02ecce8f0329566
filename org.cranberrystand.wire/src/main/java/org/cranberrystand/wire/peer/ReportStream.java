package org.cranberrystand.wire.peer;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.StreamOrigins;
import org.cranberrystand.membership.PeerReport;

/**
 * Encodes the successive reports of one scope: complete ones, which are bases, and differences from
 * the last base. Not thread-safe.
 *
 * <p>Every difference contains all changes since the base, so receivers that have the base lose
 * nothing with a lost report. A receiver without the base requests it.
 */
public final class ReportStream {
  /** A base is replaced after this time if the differences from it are large. */
  private static final long MIN_BASE_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Even if nothing changes, a base is replaced after this time. */
  private static final long MAX_BASE_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Differences above this fraction of the base count as large. */
  private static final int LARGE_FRACTION = 6;

  private PeerReport base;
  private byte[] encodedBase;
  private long baseNanos;
  private boolean baseRequired = true;
  private ImmutableList<StreamOrigins.Origin> previousOrigins = ImmutableList.of();

  /**
   * Encodes the next report.
   *
   * @param report the report
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the content of a datagram
   */
  public byte[] encode(PeerReport report, long nowNanos) {
    byte[] encoded = encodeChanges(report, nowNanos);
    if (encoded == null) {
      base = report;
      baseNanos = nowNanos;
      baseRequired = false;
      encodedBase = BinaryReportCodec.encodeBase(report);
      encoded = encodedBase;
    }
    previousOrigins = report.observations().streamOrigins();
    return encoded;
  }

  /** Returns the encoded difference from the base, or null if a new base is needed. */
  private byte[] encodeChanges(PeerReport report, long nowNanos) {
    long ageNanos = nowNanos - baseNanos;
    if (baseRequired || ageNanos >= MAX_BASE_LIFETIME_NANOS) {
      return null;
    }
    ReportChanges changes = new ReportChanges(base, ageNanos, previousOrigins, report);
    if (!changes.areEncodable()) {
      return null;
    }
    byte[] encoded = BinaryReportCodec.encodeChanges(changes);
    boolean large = encoded.length > encodedBase.length / LARGE_FRACTION;
    return large && ageNanos >= MIN_BASE_LIFETIME_NANOS ? null : encoded;
  }

  /**
   * Returns the base for a receiver that did not get it.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the content of a datagram; empty if the next report will be complete instead, since the
   *     times in the base are too old
   */
  public byte[] baseForReceiver(long nowNanos) {
    if (baseRequired || nowNanos - baseNanos >= MIN_BASE_LIFETIME_NANOS) {
      baseRequired = true;
      return new byte[0];
    }
    return encodedBase;
  }

  /**
   * Returns a request for the base of the reports of another node.
   *
   * @param unknown the report that refers to it
   * @return the content of a datagram
   */
  public static byte[] request(PeerMessage.UnknownBase unknown) {
    return BinaryReportCodec.encodeRequest(unknown.scope());
  }
}
