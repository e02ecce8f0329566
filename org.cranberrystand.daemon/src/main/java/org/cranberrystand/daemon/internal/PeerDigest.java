package org.cranberrystand.daemon.internal;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.identity.Incarnation;
import org.cranberrystand.membership.LoadSummary;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.membership.MemberState;

/**
 * One message of the digest exchange; calls and responses have the same form.
 *
 * <p>Property names are one letter and entries are arrays, because the size of the message is
 * bounded by the budget for control traffic.
 *
 * @param from the name of the sender
 * @param members changed records; the sender's own is always the first
 * @param hash the sender's summary hash
 * @param loads loads that changed lately
 * @param bundleVersion the bundle in force on the sender, or 0
 * @param bundleDigest its digest
 * @param leaving upstreams that count as leaving
 * @param quarantined quarantined content
 * @param suspects suspect content
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
record PeerDigest(
    @JsonProperty("f") String from,
    @JsonProperty("m") List<Member> members,
    @JsonProperty("h") long hash,
    @JsonProperty("l") List<Load> loads,
    @JsonProperty("v") long bundleVersion,
    @JsonProperty("d") String bundleDigest,
    @JsonProperty("u") List<Timed> leaving,
    @JsonProperty("q") List<Timed> quarantined,
    @JsonProperty("s") List<Timed> suspects) {

  PeerDigest {
    from = from == null ? "" : from;
    bundleDigest = bundleDigest == null ? "" : bundleDigest;
    members = members == null ? List.of() : members;
    loads = loads == null ? List.of() : loads;
    leaving = leaving == null ? List.of() : leaving;
    quarantined = quarantined == null ? List.of() : quarantined;
    suspects = suspects == null ? List.of() : suspects;
  }

  /** Returns a copy with the hash 0, which no receiver has, so that it answers with all records. */
  PeerDigest askingForAll() {
    return new PeerDigest(
        from, members, 0, loads, bundleVersion, bundleDigest, leaving, quarantined, suspects);
  }

  /** A name with an age or a remaining time. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonPropertyOrder({"name", "millis"})
  record Timed(String name, long millis) {}

  /** A member record without the figures that are exchanged as load. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonPropertyOrder({"node", "incarnation", "callers", "peers", "domain", "state", "sequence"})
  record Member(
      String node,
      String incarnation,
      String callers,
      String peers,
      String domain,
      String state,
      long sequence) {

    static Member of(MemberRecord r) {
      return new Member(
          r.node(),
          r.incarnation(),
          r.callerAddress(),
          r.peerAddress(),
          r.failureDomain(),
          r.state().label(),
          r.sequence());
    }

    /** Returns the record, or empty when the entry is malformed. */
    Optional<MemberRecord> toRecord() {
      try {
        if (!Incarnation.isValidNodeName(node) || incarnation == null || domain == null) {
          return Optional.empty();
        }
        MemberState parsed = MemberState.valueOf(state.toUpperCase(Locale.ROOT));
        HostAndPort callerAddress = HostAndPort.fromString(callers);
        HostAndPort peerAddress = HostAndPort.fromString(peers);
        if (!callerAddress.hasPort() || !peerAddress.hasPort()) {
          return Optional.empty();
        }
        return Optional.of(
            new MemberRecord(node, incarnation, callers, peers, domain, parsed, sequence, 0, 0));
      } catch (IllegalArgumentException | NullPointerException e) {
        return Optional.empty();
      }
    }
  }

  /** The load of a node; backlogs are in the order of the tiers. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonPropertyOrder({
    "node",
    "sequence",
    "version",
    "digest",
    "percent",
    "backlog",
    "room",
    "teams",
    "demand"
  })
  record Load(
      String node,
      long sequence,
      long version,
      String digest,
      int percent,
      List<Long> backlog,
      long room,
      Map<String, Long> teams,
      long demand) {

    /** Enough of a digest to tell two contents of one version apart. */
    private static final int SHORT_DIGEST = 12;

    static Load of(LoadSummary l) {
      List<Long> backlog =
          l.backlogTokens().isEmpty()
              ? List.of()
              : List.of(Tier.values()).stream()
                  .map(tier -> l.backlogTokens().getOrDefault(tier, 0L))
                  .toList();
      String digest = l.bundleDigest();
      return new Load(
          l.node(),
          l.sequence(),
          l.bundleVersion(),
          digest.substring(0, Math.min(SHORT_DIGEST, digest.length())),
          l.loadPercent(),
          backlog,
          l.roomTokens(),
          l.teamTokensPerSecond(),
          l.demandTokensPerSecond());
    }

    /** Returns the summary, or empty when the entry is malformed. */
    Optional<LoadSummary> toSummary() {
      if (node == null || digest == null || backlog == null || teams == null) {
        return Optional.empty();
      }
      EnumMap<Tier, Long> byTier = new EnumMap<>(Tier.class);
      List<Tier> tiers = List.of(Tier.values());
      for (int i = 0; i < Math.min(tiers.size(), backlog.size()); i++) {
        byTier.put(tiers.get(i), backlog.get(i) == null ? 0L : backlog.get(i));
      }
      try {
        return Optional.of(
            new LoadSummary(
                node,
                sequence,
                version,
                digest,
                percent,
                ImmutableMap.copyOf(byTier),
                room,
                ImmutableMap.copyOf(teams),
                demand));
      } catch (NullPointerException e) {
        return Optional.empty();
      }
    }
  }
}
