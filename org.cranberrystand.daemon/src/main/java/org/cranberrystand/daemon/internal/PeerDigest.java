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
 * Message of the gossip protocol; requests and responses have the same format.
 *
 * <p>Property names have one letter and entries are arrays, because the budget for control traffic
 * bounds the size of the message.
 *
 * @param from the name of the sender
 * @param members changed member records; the sender's own record is always the first
 * @param hash the hash of the sender's membership table
 * @param loads recently changed loads
 * @param bundleVersion the version of the bundle in force on the sender, or 0
 * @param bundleDigest the digest of that bundle, or an empty string
 * @param leaving upstreams that the sender treats as leaving
 * @param quarantined digests of quarantined content
 * @param suspects digests of suspect content
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

  /**
   * Returns a copy with hash 0, which never matches, so that the receiver sends all its records.
   */
  PeerDigest requestingAllRecords() {
    return new PeerDigest(
        from, members, 0, loads, bundleVersion, bundleDigest, leaving, quarantined, suspects);
  }

  /** A name with an age or a remaining time in milliseconds. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  @JsonPropertyOrder({"name", "millis"})
  record Timed(String name, long millis) {}

  /** A member record without the values that {@link Load} carries. */
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

    static Member of(MemberRecord member) {
      return new Member(
          member.node(),
          member.incarnation(),
          member.callerAddress(),
          member.peerAddress(),
          member.failureDomain(),
          member.state().label(),
          member.sequence());
    }

    /** Converts the entry; returns empty if it is malformed. */
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

  /** The load of a node; the backlogs are in the order of {@link Tier}. */
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

    /** Digits of a digest that suffice to distinguish two contents of one version. */
    private static final int SHORT_DIGEST_CHARS = 12;

    static Load of(LoadSummary summary) {
      List<Long> backlog =
          summary.backlogTokens().isEmpty()
              ? List.of()
              : List.of(Tier.values()).stream()
                  .map(tier -> summary.backlogTokens().getOrDefault(tier, 0L))
                  .toList();
      String digest = summary.bundleDigest();
      return new Load(
          summary.node(),
          summary.sequence(),
          summary.bundleVersion(),
          digest.substring(0, Math.min(SHORT_DIGEST_CHARS, digest.length())),
          summary.loadPercent(),
          backlog,
          summary.roomTokens(),
          summary.teamTokensPerSecond(),
          summary.demandTokensPerSecond());
    }

    /** Converts the entry; returns empty if it is malformed. */
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
