package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;

/**
 * State of the distribution of bundles as one node knows it.
 *
 * @param version the version in force on the node, or 0
 * @param digest its digest, or an empty string
 * @param publishedVersion what the configuration service published when it last answered, or 0
 * @param publishedDigest the digest of that, or an empty string
 * @param serviceAnswers whether the last call to the configuration service was answered
 * @param members what is in force on the members, this node included
 * @param conflicts versions of which two contents were seen
 */
public record RolloutState(
    long version,
    String digest,
    long publishedVersion,
    String publishedDigest,
    boolean serviceAnswers,
    ImmutableList<MemberBundle> members,
    ImmutableList<BundleIntake.Conflict> conflicts) {

  /**
   * The bundle of one member.
   *
   * @param node the name of the member
   * @param state its state
   * @param version the version in force, or 0
   * @param digest the first digits of its digest
   */
  public record MemberBundle(String node, String state, long version, String digest) {}

  /**
   * Tells whether the configuration service publishes the bundle in force on the node.
   *
   * @return false also while it has not answered yet
   */
  public boolean isPublished() {
    return version == publishedVersion && digest.equals(publishedDigest);
  }
}
