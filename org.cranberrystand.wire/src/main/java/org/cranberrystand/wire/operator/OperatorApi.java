package org.cranberrystand.wire.operator;

/** Paths, query parameters and headers of the operator API. */
public final class OperatorApi {
  /** Path of the metrics in the Prometheus text format. */
  public static final String METRICS = "metrics";

  /** Prefix of all paths except {@link #METRICS}. */
  public static final String PREFIX = "operator/v1/";

  /** Name of the operator who makes a change, percent-encoded; claimed, not verified. */
  public static final String OPERATOR_HEADER = "Cranberrystand-Operator";

  /** Reason for the change, percent-encoded. */
  public static final String REASON_HEADER = "Cranberrystand-Reason";

  /** Query parameter that reports the effect of a change without making it. */
  public static final String DRY_RUN = "dryRun";

  /** Query parameter that makes the node read the bundle of the configuration service. */
  public static final String PUBLISHED = "published";

  /** Query parameter with the sequence number of the last audit entry already read. */
  public static final String AFTER = "after";

  private OperatorApi() {}
}
