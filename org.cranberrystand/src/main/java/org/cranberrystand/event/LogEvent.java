package org.cranberrystand.event;

/** Numbered log events. The catalogue is docs/events.md. */
public enum LogEvent {
  /** The node serves requests. */
  NODE_STARTED(1001, Severity.INFO, "node started"),
  /** The node shuts down gracefully. */
  NODE_DRAINING(1002, Severity.INFO, "node draining"),
  /** The node ended. */
  NODE_STOPPED(1003, Severity.INFO, "node stopped"),
  /** A task of the node failed. */
  TASK_FAILED(1004, Severity.ERROR, "background task failed"),
  /** Settings have defects. */
  SETTINGS_INVALID(1005, Severity.ERROR, "settings are invalid"),
  /** The process was paused; the view is refreshed before requests are dispatched. */
  NODE_PAUSED(1006, Severity.WARNING, "node was paused"),
  /** An operator asked the node to drain. */
  DRAIN_REQUESTED(1011, Severity.INFO, "drain requested by an operator"),
  /** A call to the operator listener had no valid token. */
  OPERATOR_REFUSED(1012, Severity.WARNING, "operator call refused"),
  /** Other nodes came, left or were replaced. */
  MEMBERS_CHANGED(1013, Severity.INFO, "members changed"),
  /** A bundle came into force. */
  BUNDLE_IN_FORCE(2001, Severity.INFO, "bundle in force"),
  /** A bundle was refused. */
  BUNDLE_REFUSED(2002, Severity.WARNING, "bundle refused"),
  /** Two contents exist under one version. */
  BUNDLE_CONFLICT(2003, Severity.ERROR, "bundle conflict"),
  /** The configuration service does not answer. */
  CONFIG_UNAVAILABLE(2004, Severity.WARNING, "configuration service unavailable"),
  /** An operator pushed a bundle to this node. */
  BUNDLE_PUSHED(2011, Severity.INFO, "bundle pushed by an operator"),
  /** An upstream refused a request before running it. */
  UPSTREAM_REFUSED(3001, Severity.DEBUG, "upstream refused a request"),
  /** A connection to an upstream broke. */
  UPSTREAM_BROKEN(3002, Severity.WARNING, "connection to upstream broke"),
  /** A stream event was out of sequence or belonged to another request. */
  STREAM_MISMATCH(3003, Severity.WARNING, "stream event does not belong to the answer"),
  /** Upstreams were listed, removed or began to leave. */
  UPSTREAMS_CHANGED(3011, Severity.INFO, "upstreams changed"),
  /** Content that crashed upstreams is not run for a time. */
  CONTENT_QUARANTINED(3012, Severity.WARNING, "content quarantined"),
  /** An engine was ordered to serve a model. */
  ENGINE_ORDERED(4001, Severity.INFO, "engine ordered"),
  /** The rollout of a model version stopped because goodput fell. */
  MODEL_ROLLOUT_HALTED(4002, Severity.ERROR, "model rollout halted"),
  /** A request was sent to an upstream. */
  REQUEST_PLACED(5001, Severity.INFO, "request placed"),
  /** A request was answered as not run. */
  REQUEST_REFUSED(5002, Severity.INFO, "request refused"),
  /** A request ended. */
  REQUEST_ENDED(5003, Severity.INFO, "request ended"),
  /** A request is sent to a second upstream. */
  REQUEST_REPEATED(5004, Severity.INFO, "request repeated"),
  /** A request is not allowed by the declaration in force. */
  REQUEST_DENIED(5005, Severity.INFO, "request denied"),
  /** Bytes of an upstream belong to no request at hand. */
  ANSWER_MISMATCH(5006, Severity.WARNING, "answer belongs to no request at hand"),
  /** A declaration of routes is in force. */
  ROUTING_IN_FORCE(5011, Severity.INFO, "declaration of routes in force"),
  /** A published value names nothing to use. */
  VALUE_IGNORED(5012, Severity.WARNING, "published value ignored"),
  /** A service that the node needs does not answer. */
  DEPENDENCY_LOST(5013, Severity.WARNING, "dependency lost"),
  /** A service that the node needs answers again. */
  DEPENDENCY_REGAINED(5014, Severity.INFO, "dependency regained"),
  /** The store does not keep the changes that the node missed. */
  HISTORY_LOST(5015, Severity.WARNING, "history of the store lost"),
  /** The published state was taken from another node. */
  STATE_FROM_PEER(5016, Severity.INFO, "published state taken from another node"),
  /** Another node does not answer. */
  PEER_UNREACHABLE(5017, Severity.WARNING, "node does not answer"),
  /** A report of another node cannot be read. */
  REPORT_MALFORMED(5018, Severity.WARNING, "report of a node cannot be read"),
  /** The settings were read again. */
  SETTINGS_RELOADED(5019, Severity.INFO, "settings read again"),
  /** The log could not be written as fast as it grew. */
  LOG_LINES_DROPPED(5020, Severity.WARNING, "log lines dropped"),
  /** The node became or ceased to be the head of its cell, or the fleet was divided anew. */
  CELL_CHANGED(5021, Severity.INFO, "cell of the node changed"),
  /** The node leaves the store to other nodes of its cell, or reads it itself again. */
  STORE_READING_CHANGED(5022, Severity.INFO, "reading of the store changed");

  private final int number;
  private final Severity severity;
  private final String text;

  LogEvent(int number, Severity severity, String text) {
    this.number = number;
    this.severity = severity;
    this.text = text;
  }

  public int number() {
    return number;
  }

  public Severity severity() {
    return severity;
  }

  public String text() {
    return text;
  }
}
