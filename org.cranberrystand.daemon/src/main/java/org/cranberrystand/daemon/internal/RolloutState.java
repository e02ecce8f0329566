package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;

/**
 * State of the bundle distribution from the view of one node.
 *
 * @param version the version in force on the node, or 0
 * @param digest the digest of that version, or an empty string
 * @param publishedVersion the version in the last response of the configuration service, or 0
 * @param publishedDigest the digest of that version, or an empty string
 * @param serviceAvailable whether the last call to the configuration service succeeded
 * @param members the bundles in force on all members, including this node
 * @param conflicts versions for which two different contents were received
 */
public record RolloutState(
    long version,
    String digest,
    long publishedVersion,
    String publishedDigest,
    boolean serviceAvailable,
    ImmutableList<MemberBundle> members,
    ImmutableList<BundleIntake.Conflict> conflicts) {

  /**
   * The bundle of one member.
   *
   * @param node the name of the member
   * @param state the membership state of the member
   * @param version the version in force, or 0
   * @param digest the first digits of the digest of that version
   */
  public record MemberBundle(String node, String state, long version, String digest) {}

  /**
   * Returns whether the bundle in force on the node is the published one.
   *
   * @return false also until the configuration service has responded for the first time
   */
  public boolean isPublished() {
    return version == publishedVersion && digest.equals(publishedDigest);
  }
}
