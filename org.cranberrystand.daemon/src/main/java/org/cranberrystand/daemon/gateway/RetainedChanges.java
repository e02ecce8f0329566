package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Set;
import org.cranberrystand.routing.RoutingTable;
import org.cranberrystand.upstream.RegisteredUpstream;

/** The decoded changes that the store retains of the past. Immutable. */
final class RetainedChanges {
  private final ImmutableList<RegisteredUpstream> upstreams;
  private final ImmutableList<RoutingTable> declarations;
  private final boolean unknownRegistration;

  /** Identifiers of which it is known whether there was a registration before the first change. */
  private final Set<String> ids = new HashSet<>();

  private final Set<String> unusableIds = new HashSet<>();

  /**
   * Decodes changes.
   *
   * @param decoder decodes the values
   * @param changes the changes in order
   * @param sinceMillis the wall-clock time from which on all changes are retained
   */
  RetainedChanges(PublishedDecoder decoder, Iterable<PublishedValue> changes, long sinceMillis) {
    ImmutableList.Builder<RegisteredUpstream> registered = ImmutableList.builder();
    ImmutableList.Builder<RoutingTable> declared = ImmutableList.builder();
    boolean unknown = false;
    for (PublishedValue change : changes) {
      String id = decoder.upstreamId(change.key());
      if (change.isDeleted()) {
        unknown |= !id.isEmpty() && !ids.contains(id) && !unusableIds.contains(id);
        continue;
      }
      PublishedDecoder.Decoded decoded = decoder.decode(change);
      if (decoded instanceof PublishedDecoder.Registration registration) {
        RegisteredUpstream upstream = registration.upstream();
        registered.add(upstream);
        boolean isFirst = ids.add(id);
        // A process that has started since may have replaced one of another version.
        unknown |= isFirst && !change.isCreation() && upstream.startedAtMillis() >= sinceMillis;
      } else if (decoded instanceof PublishedDecoder.Declaration declaration) {
        declared.add(declaration.table());
      } else if (!id.isEmpty()) {
        // Before it, there may have been a registration that is not retained.
        (change.isCreation() ? ids : unusableIds).add(id);
      }
    }
    this.upstreams = registered.build();
    this.declarations = declared.build();
    this.unknownRegistration = unknown;
  }

  /** Returns all registrations that were written. */
  ImmutableList<RegisteredUpstream> upstreams() {
    return upstreams;
  }

  /** Returns all declarations that were written. */
  ImmutableList<RoutingTable> declarations() {
    return declarations;
  }

  /** Returns whether a registration was removed or replaced that is not retained. */
  boolean hasUnknownRegistration() {
    return unknownRegistration;
  }

  /** Returns whether a registration with an identifier was written. */
  boolean includes(String id) {
    return ids.contains(id);
  }
}
