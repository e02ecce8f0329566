package org.cranberrystand.event;

/** Numbered log events. {@code docs/events.md} lists them for operators. */
public enum LogEvent {
  /** The node started to serve requests. */
  NODE_STARTED(1001, Severity.INFO, "node started"),
  /** The node started a graceful shutdown. */
  NODE_DRAINING(1002, Severity.INFO, "node draining"),
  /** The node stopped. */
  NODE_STOPPED(1003, Severity.INFO, "node stopped"),
  /** A background task of the node failed. */
  TASK_FAILED(1004, Severity.ERROR, "background task failed"),
  /** The settings contain errors. */
  SETTINGS_INVALID(1005, Severity.ERROR, "settings are invalid"),
  /** The process was paused; the node refreshes its view before it dispatches requests again. */
  NODE_PAUSED(1006, Severity.WARNING, "node was paused"),
  /** The connections of callers were closed, at the end of a shutdown. */
  CALLERS_CLOSED(1007, Severity.INFO, "connections of callers closed"),
  /** An operator asked the node to drain. */
  DRAIN_REQUESTED(1011, Severity.INFO, "drain requested by an operator"),
  /** A call to the operator listener had no valid token. */
  OPERATOR_REFUSED(1012, Severity.WARNING, "operator call refused"),
  /** Other nodes joined, left or were replaced. */
  MEMBERS_CHANGED(1013, Severity.INFO, "members changed"),
  /** A bundle became active. */
  BUNDLE_IN_FORCE(2001, Severity.INFO, "bundle in force"),
  /** A bundle was refused. */
  BUNDLE_REFUSED(2002, Severity.WARNING, "bundle refused"),
  /** Two bundles have the same version but different content. */
  BUNDLE_CONFLICT(2003, Severity.ERROR, "bundle conflict"),
  /** The configuration service does not respond. */
  CONFIG_UNAVAILABLE(2004, Severity.WARNING, "configuration service unavailable"),
  /** An operator pushed a bundle to this node. */
  BUNDLE_PUSHED(2011, Severity.INFO, "bundle pushed by an operator"),
  /** An upstream refused a request before running it. */
  UPSTREAM_REFUSED(3001, Severity.DEBUG, "upstream refused a request"),
  /** A connection to an upstream was lost. */
  UPSTREAM_BROKEN(3002, Severity.WARNING, "connection to upstream broke"),
  /** A stream event was out of sequence or belonged to another request. */
  STREAM_MISMATCH(3003, Severity.WARNING, "stream event does not belong to the answer"),
  /** Upstreams were added or removed, or started to leave. */
  UPSTREAMS_CHANGED(3011, Severity.INFO, "upstreams changed"),
  /**
   * Content is suspected to crash upstreams; it is rejected for some time unless other explains.
   */
  CONTENT_QUARANTINED(3012, Severity.WARNING, "content quarantined"),
  /** Crashes of content no longer count. */
  CONTENT_ACCEPTED(3013, Severity.INFO, "content accepted again"),
  /** An order to serve a model was sent to an engine. */
  ENGINE_ORDERED(4001, Severity.INFO, "engine ordered"),
  /** The rollout of a model version was halted because goodput dropped. */
  MODEL_ROLLOUT_HALTED(4002, Severity.ERROR, "model rollout halted"),
  /** A request was sent to an upstream. */
  REQUEST_PLACED(5001, Severity.INFO, "request placed"),
  /** A request was rejected without being run. */
  REQUEST_REFUSED(5002, Severity.INFO, "request refused"),
  /** A request completed. */
  REQUEST_ENDED(5003, Severity.INFO, "request ended"),
  /** A request was retried on another upstream. */
  REQUEST_REPEATED(5004, Severity.INFO, "request repeated"),
  /** A request is not permitted by the active routing configuration. */
  REQUEST_DENIED(5005, Severity.INFO, "request denied"),
  /** An upstream sent data that belongs to no pending request. */
  ANSWER_MISMATCH(5006, Severity.WARNING, "answer belongs to no request at hand"),
  /** A routing configuration became active. */
  ROUTING_IN_FORCE(5011, Severity.INFO, "declaration of routes in force"),
  /** A published value was ignored because it cannot be used. */
  VALUE_IGNORED(5012, Severity.WARNING, "published value ignored"),
  /** A service on which the node depends does not respond. */
  DEPENDENCY_LOST(5013, Severity.WARNING, "dependency lost"),
  /** A service on which the node depends responds again. */
  DEPENDENCY_REGAINED(5014, Severity.INFO, "dependency regained"),
  /** The store no longer holds the changes that the node has missed. */
  HISTORY_LOST(5015, Severity.WARNING, "history of the store lost"),
  /** The node copied the published state from another node. */
  STATE_FROM_PEER(5016, Severity.INFO, "published state taken from another node"),
  /** Another node does not respond. */
  PEER_UNREACHABLE(5017, Severity.WARNING, "node does not answer"),
  /** A report of another node cannot be parsed. */
  REPORT_MALFORMED(5018, Severity.WARNING, "report of a node cannot be read"),
  /** The settings were reloaded. */
  SETTINGS_RELOADED(5019, Severity.INFO, "settings read again"),
  /** Log lines were dropped because they were produced faster than they could be written. */
  LOG_LINES_DROPPED(5020, Severity.WARNING, "log lines dropped"),
  /** The node became or ceased to be the head of its cell, or the cells of the fleet changed. */
  CELL_CHANGED(5021, Severity.INFO, "cell of the node changed"),
  /**
   * The node stopped or resumed reading the store itself; other nodes of its cell read it instead.
   */
  STORE_READING_CHANGED(5022, Severity.INFO, "reading of the store changed"),
  /** The store was restored from a copy and has lost its latest changes. */
  STORE_RESTORED(5023, Severity.WARNING, "store restored from a copy"),
  /** An upstream announced in a response that it is leaving, here or at another node. */
  UPSTREAM_LEAVING(5024, Severity.INFO, "upstream is leaving"),
  /** An upstream wants no requests from this node for some time. */
  UPSTREAM_PAUSED(5025, Severity.INFO, "upstream paused by its own request"),
  /** A header of the platform has a value that cannot be used. */
  HEADER_IGNORED(5026, Severity.WARNING, "value of a header ignored"),
  /** An upstream set, changed or removed the limit of its request rate. */
  UPSTREAM_LIMITED(5027, Severity.INFO, "rate limit of an upstream changed"),
  /** A caller resumes a stream that another request of it began. */
  STREAM_RESUMED(5028, Severity.INFO, "stream resumed by its caller"),
  /** An upstream ended its connection before it sent anything of the answer to a request. */
  CRASH_SUSPECTED(5029, Severity.INFO, "request may have crashed its upstream"),
  /** The node lost or regained the links to all upstreams of a pool. */
  POOL_REACH_CHANGED(5030, Severity.WARNING, "reach of a pool changed"),
  /** A request was sent through another node, which reaches the upstreams of its pool. */
  REQUEST_FORWARDED(5031, Severity.INFO, "request forwarded to another node"),
  /** An upstream stated, changed or withdrew the rate of refusals beyond which it fails. */
  UPSTREAM_BRITTLE(5032, Severity.INFO, "refusal limit of an upstream changed"),
  /** Operators evacuated a failure domain: its upstreams get no new requests. */
  EVACUATION_STARTED(5040, Severity.WARNING, "failure domain evacuated"),
  /** The evacuation of a failure domain ended: its upstreams may get requests again. */
  EVACUATION_ENDED(5041, Severity.WARNING, "evacuation of a failure domain ended"),
  /** Operators evacuated a failure domain in which no upstream is registered. */
  EVACUATION_UNKNOWN(5042, Severity.WARNING, "evacuated failure domain has no upstreams"),
  /** The node stood still for so long that its published state may be out of date. */
  PLACEMENT_HELD(5043, Severity.WARNING, "placement held until the state is confirmed"),
  /** The node places requests again after it stood still. */
  PLACEMENT_RESUMED(5044, Severity.INFO, "placement resumed"),
  /** The store did not confirm that the state of a node is up to date. */
  STATE_NOT_CONFIRMED(5045, Severity.INFO, "state not confirmed by the store"),
  /** An upstream counts as cold: it receives only as many requests as it tolerates. */
  UPSTREAM_COLD(5046, Severity.INFO, "upstream counts as cold"),
  /** An upstream no longer counts as cold. */
  UPSTREAM_WARM(5047, Severity.INFO, "upstream no longer counts as cold"),
  /** A second attempt of a request was sent, because the first one had no response yet. */
  REQUEST_HEDGED(5048, Severity.INFO, "request hedged"),
  /** A call of the store failed; another call shows whether the store is lost. */
  STORE_CALL_FAILED(5049, Severity.INFO, "call of the store failed"),
  /** The store may have been away for so long that registrations of live upstreams expired. */
  REGISTRATIONS_UNCERTAIN(5050, Severity.WARNING, "registrations may have expired"),
  /** A request was sent to find out which of its content crashes upstreams. */
  CONTENT_PROBED(5051, Severity.INFO, "suspected content probed"),
  /** It was found out, or not, where a stream began that no node knows. */
  STREAM_INFERRED(5052, Severity.INFO, "origin of a stream inferred"),
  /** The changes that the store retains were read, or could not be. */
  STORE_HISTORY_READ(5053, Severity.INFO, "history of the store read"),
  /** An upstream did not say which requests it runs. */
  UPSTREAM_RUNS_UNKNOWN(5054, Severity.INFO, "requests of an upstream are unknown"),
  /** The upstreams of a pool were asked which requests they run. */
  UPSTREAM_RUNS_READ(5055, Severity.INFO, "requests of upstreams read"),
  /** Another process than the registered one answers at the address of an upstream. */
  UPSTREAM_REPLACED(5056, Severity.WARNING, "upstream replaced by another process"),
  /** A connection broke, but its upstream still runs. */
  CRASH_RULED_OUT(5057, Severity.INFO, "upstream did not crash"),
  /** More requests were refused than are logged. */
  REFUSALS_LEFT_OUT(5058, Severity.INFO, "refusals left out of the log"),
  /** The store was there while the node did not reach it, so no registration has expired. */
  REGISTRATIONS_CERTAIN(5059, Severity.INFO, "registrations have not expired"),
  /** A response ended because incomplete ones together take too much memory. */
  ANSWER_MEMORY_SPENT(5060, Severity.WARNING, "memory for answers is spent");

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
