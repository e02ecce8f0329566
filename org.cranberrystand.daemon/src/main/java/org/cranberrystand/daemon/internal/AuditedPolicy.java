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
 * Passes events to a dispatch policy and records the changes among them in the audit trail.
 *
 * <p>Not thread-safe, like any policy.
 */
public final class AuditedPolicy implements DispatchPolicy {
  private final DispatchPolicy policy;
  private final AuditLog audit;
  private ImmutableSet<String> members = ImmutableSet.of();
  private ImmutableSet<String> upstreams = ImmutableSet.of();
  private final Set<String> quarantined = new HashSet<>();

  /**
   * Wraps a policy.
   *
   * @param policy the policy; must be called through this object only
   * @param audit records the changes
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
      auditMembers(changed);
    } else if (event instanceof SchedulerEvent.DirectoryChanged changed) {
      auditUpstreams(changed);
    } else if (event instanceof SchedulerEvent.ContentReported reported) {
      auditQuarantines(reported);
    }
    return policy.handle(event);
  }

  private void auditMembers(SchedulerEvent.PeersChanged changed) {
    ImmutableSet<String> current =
        changed.peers().stream()
            .map(SchedulerEvent.PeerLoad::node)
            .collect(ImmutableSet.toImmutableSet());
    writeDifference(LogEvent.MEMBERS_CHANGED, "membership", members, current);
    members = current;
  }

  private void auditUpstreams(SchedulerEvent.DirectoryChanged changed) {
    ImmutableSet<String> current =
        changed.directory().all().stream()
            .map(AuditedPolicy::describe)
            .collect(ImmutableSet.toImmutableSet());
    writeDifference(LogEvent.UPSTREAMS_CHANGED, "directory", upstreams, current);
    upstreams = current;
  }

  private void auditQuarantines(SchedulerEvent.ContentReported reported) {
    Set<String> current = reported.quarantinedUntilNanos().keySet();
    for (String digest : current) {
      if (quarantined.add(digest)) {
        audit.write(
            LogEvent.CONTENT_QUARANTINED,
            AuditLog.SYSTEM,
            "reported by another node",
            "content=" + digest);
      }
    }
    quarantined.retainAll(current);
  }

  private void writeDifference(
      LogEvent event, String why, Set<String> previous, Set<String> current) {
    if (!previous.equals(current)) {
      audit.write(
          event,
          AuditLog.SYSTEM,
          why,
          "added="
              + joinSorted(Sets.difference(current, previous))
              + " removed="
              + joinSorted(Sets.difference(previous, current)));
    }
  }

  private static String describe(UpstreamRecord upstream) {
    return upstream.leaving() ? upstream.name() + "(leaving)" : upstream.name();
  }

  private static String joinSorted(Set<String> names) {
    return names.stream().sorted().collect(Collectors.joining(","));
  }
}
