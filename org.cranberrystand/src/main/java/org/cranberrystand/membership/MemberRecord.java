package org.cranberrystand.membership;

/**
 * What is known of one node.
 *
 * @param node the name of the node
 * @param incarnation the random number of its current life, in hexadecimal
 * @param callerAddress host and port of its listener for callers
 * @param peerAddress host and port of its listener for peers
 * @param failureDomain its failure domain
 * @param state its state
 * @param sequence a number that grows with each change of the record
 * @param bundleVersion the bundle in force on it, or 0
 * @param loadPercent how much of its capacity for queued work is used
 */
public record MemberRecord(
    String node,
    String incarnation,
    String callerAddress,
    String peerAddress,
    String failureDomain,
    MemberState state,
    long sequence,
    long bundleVersion,
    int loadPercent) {}
