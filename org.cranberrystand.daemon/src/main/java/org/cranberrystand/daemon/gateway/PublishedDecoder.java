package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import org.cranberrystand.routing.RoutingTable;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Decodes published values.
 *
 * <p>Implementations make no decisions. Implementations are thread-safe.
 */
public interface PublishedDecoder {

  /** A decoded value. */
  sealed interface Decoded {}

  /**
   * The operators' declaration.
   *
   * @param table the declared routes, pools, teams and limits
   * @param ignoredFields the fields whose values cannot be used, with their values
   */
  record Declaration(RoutingTable table, ImmutableList<String> ignoredFields) implements Decoded {}

  /**
   * The registration of an upstream.
   *
   * @param upstream the registered upstream
   * @param ignoredFields the fields whose values cannot be used, with their values
   */
  record Registration(RegisteredUpstream upstream, ImmutableList<String> ignoredFields)
      implements Decoded {}

  /**
   * The evacuation of a failure domain, in effect as long as the value is published.
   *
   * @param domain the failure domain
   */
  record Evacuation(String domain) implements Decoded {}

  /**
   * A value that the gateway does not use.
   *
   * @param reason the defect of the value; empty if the key is not meant for gateways
   */
  record Ignored(String reason) implements Decoded {}

  /**
   * Decodes a value.
   *
   * @param value the value; must not be deleted
   * @return the decoded value
   */
  Decoded decode(PublishedValue value);

  /**
   * Returns a value as far as nodes use it. Any writer may publish values of any size and number,
   * so a node keeps no more of them than this.
   *
   * @param value the value as it was published
   * @return a value that decodes to the same, without text that has no effect
   */
  PublishedValue reduce(PublishedValue value);

  /**
   * Returns the identifier of the upstream that registers under a key.
   *
   * @param key the key of a published value
   * @return the identifier, or an empty string if the key is not that of a registration
   */
  String upstreamId(String key);

  /**
   * Returns the failure domain that a key evacuates.
   *
   * @param key the key of a published value
   * @return the failure domain, or an empty string if the key is not that of an evacuation
   */
  String evacuatedDomain(String key);
}
