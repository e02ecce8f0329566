package org.cranberrystand.daemon.gateway;

import org.cranberrystand.routing.RoutingTable;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Decodes published values.
 *
 * <p>Implementations translate and decide nothing. Safe for use by several threads.
 */
public interface PublishedDecoder {

  /** A decoded value. */
  sealed interface Decoded {}

  /**
   * The operators' declaration.
   *
   * @param table what it says
   */
  record Declaration(RoutingTable table) implements Decoded {}

  /**
   * The registration of an upstream.
   *
   * @param upstream the upstream
   */
  record Registration(RegisteredUpstream upstream) implements Decoded {}

  /**
   * A value that names nothing to use.
   *
   * @param reason why; empty if the key is not for this system
   */
  record Ignored(String reason) implements Decoded {}

  /**
   * Decodes a value.
   *
   * @param value the value; not deleted
   * @return what it says
   */
  Decoded decode(PublishedValue value);

  /**
   * Returns the identifier of the upstream that registers under a key.
   *
   * @param key the key
   * @return the identifier, or an empty string if the key is no registration
   */
  String upstreamId(String key);
}
