package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.Optional;
import org.cranberrystand.routing.TeamPolicy;

/**
 * What identifies the content of a request in the register of crashes.
 *
 * @param whole the fingerprint of the path, the team and the body
 * @param parts the shared parts of the prompt
 */
record ContentKeys(long whole, ImmutableList<Long> parts) {

  static ContentKeys of(CallerExchange exchange, CallerHeaders caller, Optional<TeamPolicy> team) {
    Hasher hasher = Hashing.farmHashFingerprint64().newHasher();
    hasher.putUnencodedChars(exchange.request().uri());
    hasher.putUnencodedChars(team.map(TeamPolicy::name).orElse(""));
    hasher.putBytes(exchange.body().nioBuffer());
    return new ContentKeys(hasher.hash().asLong(), caller.sharedParts());
  }

  ImmutableList<Long> all() {
    return ImmutableList.<Long>builder().add(whole).addAll(parts).build();
  }
}
