package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.cranberrystand.audit.AuditMerge;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.identity.LedgerEntry;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ProblemType;
import org.cranberrystand.wire.operator.AuditPage;
import org.cranberrystand.wire.operator.ExplainReport;
import org.cranberrystand.wire.operator.LoadReport;
import org.cranberrystand.wire.operator.NodeReport;
import org.cranberrystand.wire.operator.OperatorApi;
import org.cranberrystand.wire.operator.RolloutReport;
import org.cranberrystand.wire.operator.UpstreamReport;
import org.cranberrystand.wire.platform.VmEntry;
import ratpack.handling.Context;

/** Handles operator calls that read reports. Safe for use by several threads. */
public final class OperatorReports {
  private static final LoadSnapshot.Counts NO_REQUESTS = new LoadSnapshot.Counts(0, 0);

  private final NodeState state;
  private final ObservedPolicy policy;
  private final Metrics metrics;
  private final AuditLog audit;
  private final PublishedBundleReader publishedBundle;

  /**
   * Creates the reports of a node.
   *
   * @param state the state of the node
   * @param policy supplies load counts and request traces
   * @param metrics supplies the metrics of the node
   * @param audit the audit trail
   * @param publishedBundle reads the bundle from the configuration service
   */
  public OperatorReports(
      NodeState state,
      ObservedPolicy policy,
      Metrics metrics,
      AuditLog audit,
      PublishedBundleReader publishedBundle) {
    this.state = state;
    this.policy = policy;
    this.metrics = metrics;
    this.audit = audit;
    this.publishedBundle = publishedBundle;
  }

  void metrics(Context ctx) {
    ctx.getResponse().send("text/plain;version=0.0.4;charset=utf-8", metrics.scrape());
  }

  void nodes(Context ctx) {
    long version = state.bundles().current().map(Bundle::version).orElse(0L);
    String nodeState = version == 0 ? "waiting" : "ready";
    send(
        ctx,
        new NodeReport(
            node(),
            state.incarnation().idText(),
            state.settings().failureDomain(),
            state.leaving().get() ? "leaving" : nodeState,
            version,
            state.ledger().size(),
            listMembers()));
  }

  void upstreams(Context ctx) {
    LoadSnapshot load = policy.load();
    ImmutableList<UpstreamReport.Upstream> upstreams =
        state.directory().get().all().stream()
            .map(
                u ->
                    new UpstreamReport.Upstream(
                        u.name(),
                        u.pool(),
                        u.address(),
                        u.failureDomain(),
                        u.leaving(),
                        load.upstreams().getOrDefault(u.name(), 0)))
            .collect(ImmutableList.toImmutableList());
    send(ctx, new UpstreamReport(node(), upstreams));
  }

  void queues(Context ctx) {
    LoadSnapshot load = policy.load();
    Optional<Bundle> bundle = state.bundles().current();
    ImmutableList.Builder<LoadReport.Group> groups = ImmutableList.builder();
    for (Tier tier : Tier.values()) {
      double share = bundle.map(b -> b.guaranteedShare(tier)).orElse(0.0);
      groups.add(toGroup(tier.label(), share, load.tiers().getOrDefault(tier, NO_REQUESTS)));
    }
    send(ctx, new LoadReport(node(), groups.build()));
  }

  void teams(Context ctx) {
    Optional<Bundle> bundle = state.bundles().current();
    ImmutableList<LoadReport.Group> groups =
        policy.load().teams().entrySet().stream()
            .map(
                entry ->
                    toGroup(
                        entry.getKey(),
                        bundle.map(b -> b.teamWeight(entry.getKey())).orElse(1.0),
                        entry.getValue()))
            .collect(ImmutableList.toImmutableList());
    send(ctx, new LoadReport(node(), groups));
  }

  void rollout(Context ctx) {
    Optional<Bundle> bundle = state.bundles().current();
    long version = bundle.map(Bundle::version).orElse(0L);
    String digest = bundle.map(Bundle::digest).orElse("");
    if (isSet(ctx, OperatorApi.PUBLISHED)) {
      publishedBundle.read().then(p -> send(ctx, new RolloutReport(node(), version, digest, p)));
    } else {
      send(ctx, new RolloutReport(node(), version, digest, null));
    }
  }

  void audit(Context ctx) {
    String after = ctx.getRequest().getQueryParams().getOrDefault(OperatorApi.AFTER, "0");
    if (!after.matches("\\d{1,18}")) {
      Replies.problem(
          ctx, ProblemType.INVALID_REQUEST, "\"after\" must be the number of an audit entry");
      return;
    }
    ImmutableSet<AuditMerge.IncarnationKey> known =
        state.membership().get().all().stream()
            .map(member -> new AuditMerge.IncarnationKey(member.node(), member.incarnation()))
            .collect(ImmutableSet.toImmutableSet());
    send(
        ctx,
        new AuditPage(
            node(),
            state.incarnation().idText(),
            known.asList(),
            audit.trail().entriesAfter(Long.parseLong(after))));
  }

  void explain(Context ctx) {
    String text = ctx.getPathTokens().get("requestId");
    Optional<RequestId> id = state.idCodec().decode(text);
    if (id.isEmpty()) {
      Replies.problem(ctx, ProblemType.INVALID_REQUEST, "this is not an identifier of this fleet");
    } else if (!id.get().issuer().equals(state.incarnation())) {
      send(ctx, explainIssuedElsewhere(text, id.get()));
    } else {
      send(ctx, explainIssuedHere(text, id.get()));
    }
  }

  private ExplainReport explainIssuedElsewhere(String text, RequestId id) {
    return new ExplainReport(
        node(), text, id.issuer().node(), false, "not-on-record", "", "", "", "", null);
  }

  private ExplainReport explainIssuedHere(String text, RequestId id) {
    Optional<LedgerEntry> entry = state.ledger().find(id);
    Optional<RequestTrace> trace =
        Optional.ofNullable(state.schedulerKeys().getIfPresent(id)).flatMap(policy::trace);
    String outcome =
        entry
            .map(e -> e.outcome().map(Outcome::label).orElse("in-flight"))
            .orElse(trace.isPresent() ? "not-run" : "not-on-record");
    return new ExplainReport(
        node(),
        text,
        id.issuer().node(),
        true,
        outcome,
        entry.map(LedgerEntry::shop).orElse(""),
        trace.map(RequestTrace::kind).orElse(""),
        trace.map(RequestTrace::tier).orElse(""),
        trace.map(RequestTrace::team).orElse(""),
        trace.map(OperatorReports::steps).orElse(ImmutableList.of()));
  }

  private static ImmutableList<ExplainReport.Step> steps(RequestTrace trace) {
    return trace.steps().stream()
        .map(s -> new ExplainReport.Step(s.millisAfterArrival(), s.action(), s.detail()))
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableList<NodeReport.Member> listMembers() {
    ImmutableList<NodeReport.Member> viewMembers =
        state.membership().get().all().stream()
            .map(OperatorReports::toMember)
            .collect(ImmutableList.toImmutableList());
    if (!viewMembers.isEmpty()) {
      return viewMembers;
    }
    return state.entryVms().get().stream()
        .map(OperatorReports::toMember)
        .collect(ImmutableList.toImmutableList());
  }

  private static NodeReport.Member toMember(MemberRecord m) {
    return new NodeReport.Member(
        m.node(),
        m.incarnation(),
        m.callerAddress(),
        m.failureDomain(),
        m.state().label(),
        m.bundleVersion(),
        m.loadPercent());
  }

  private static NodeReport.Member toMember(VmEntry vm) {
    return new NodeReport.Member(
        vm.name(), "", vm.address(), vm.failureDomain(), "listed-" + vm.state(), 0, 0);
  }

  private static LoadReport.Group toGroup(String name, double share, LoadSnapshot.Counts counts) {
    return new LoadReport.Group(name, share, counts.queued(), counts.running());
  }

  private String node() {
    return state.settings().node();
  }

  static boolean isSet(Context ctx, String parameter) {
    return "true".equals(ctx.getRequest().getQueryParams().get(parameter));
  }

  static void send(Context ctx, Object report) {
    ctx.getResponse().send("application/json", Json.toText(report));
  }
}
