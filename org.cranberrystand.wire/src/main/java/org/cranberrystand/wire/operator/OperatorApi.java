package org.cranberrystand.wire.operator;

/** Paths, parameters and headers of the operator listener. */
public final class OperatorApi {
  /** Measurements in the Prometheus format. */
  public static final String METRICS = "metrics";

  /** Prefix of all other paths. */
  public static final String PREFIX = "operator/v1/";

  /** The operator who makes a change, percent-encoded; stated, not verified. */
  public static final String OPERATOR_HEADER = "Cranberrystand-Operator";

  /** Why the change is made, percent-encoded. */
  public static final String REASON_HEADER = "Cranberrystand-Reason";

  /** Query parameter that asks what a change would do. */
  public static final String DRY_RUN = "dryRun";

  /** Query parameter that asks the node to read the configuration service. */
  public static final String PUBLISHED = "published";

  /** Query parameter that gives the last audit entry already read. */
  public static final String AFTER = "after";

  private OperatorApi() {}
}
