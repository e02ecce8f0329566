package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.SchedulerAction;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.upstream.UpstreamRecord;

/**
 * Records in the audit trail the changes of which a dispatch policy is told.
 *
 * <p>Called by one thread at a time, as any policy.
 */
public final class AuditedPolicy implements DispatchPolicy {
  private final DispatchPolicy policy;
  private final AuditLog audit;
  private ImmutableSet<String> members = ImmutableSet.of();
  private ImmutableSet<String> upstreams = ImmutableSet.of();
  private final Set<String> quarantined = new HashSet<>();

  /**
   * Creates an auditor.
   *
   * @param policy the policy; used by this object only from now on
   * @param audit receives the changes
   */
  public AuditedPolicy(DispatchPolicy policy, AuditLog audit) {
    this.policy = policy;
    this.audit = audit;
  }

  @Override
  public List<SchedulerAction> handle(SchedulerEvent event) {
    if (event instanceof SchedulerEvent.BundleChanged changed) {
      Bundle bundle = changed.bundle();
      audit.recordLogged(
          LogEvent.BUNDLE_IN_FORCE,
          "higher version",
          "version=" + bundle.version() + " digest=" + bundle.digest());
    } else if (event instanceof SchedulerEvent.DrainStarted) {
      audit.write(LogEvent.NODE_DRAINING, AuditLog.SYSTEM, "leaving", "");
    } else if (event instanceof SchedulerEvent.PeersChanged changed) {
      membersChanged(changed);
    } else if (event instanceof SchedulerEvent.DirectoryChanged changed) {
      upstreamsChanged(changed);
    } else if (event instanceof SchedulerEvent.ContentReported reported) {
      quarantineReported(reported);
    }
    return policy.handle(event);
  }

  private void membersChanged(SchedulerEvent.PeersChanged changed) {
    ImmutableSet<String> now =
        changed.peers().stream()
            .map(SchedulerEvent.PeerLoad::node)
            .collect(ImmutableSet.toImmutableSet());
    writeDifference(LogEvent.MEMBERS_CHANGED, "membership", members, now);
    members = now;
  }

  private void upstreamsChanged(SchedulerEvent.DirectoryChanged changed) {
    ImmutableSet<String> now =
        changed.directory().all().stream()
            .map(AuditedPolicy::describe)
            .collect(ImmutableSet.toImmutableSet());
    writeDifference(LogEvent.UPSTREAMS_CHANGED, "directory", upstreams, now);
    upstreams = now;
  }

  private void quarantineReported(SchedulerEvent.ContentReported reported) {
    Set<String> now = reported.quarantinedUntilNanos().keySet();
    for (String digest : now) {
      if (quarantined.add(digest)) {
        audit.write(
            LogEvent.CONTENT_QUARANTINED,
            AuditLog.SYSTEM,
            "reported by another node",
            "content=" + digest);
      }
    }
    quarantined.retainAll(now);
  }

  private void writeDifference(LogEvent event, String why, Set<String> before, Set<String> now) {
    if (!before.equals(now)) {
      audit.write(
          event,
          AuditLog.SYSTEM,
          why,
          "added="
              + list(Sets.difference(now, before))
              + " removed="
              + list(Sets.difference(before, now)));
    }
  }

  private static String describe(UpstreamRecord upstream) {
    return upstream.leaving() ? upstream.name() + "(leaving)" : upstream.name();
  }

  private static String list(Set<String> names) {
    return names.stream().sorted().collect(Collectors.joining(","));
  }
}
