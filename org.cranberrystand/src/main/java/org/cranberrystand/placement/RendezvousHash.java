package org.cranberrystand.placement;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Rendezvous hashing: every node ranks the same candidates for a key in the same order. */
public final class RendezvousHash {
  private static final HashFunction HASH = Hashing.murmur3_128();

  private record Scored(String candidate, long score) {}

  private RendezvousHash() {}

  /**
   * Returns the hash of a name.
   *
   * @param name any text
   * @return a 64-bit hash
   */
  public static long hash(String name) {
    return HASH.hashString(name, StandardCharsets.UTF_8).asLong();
  }

  /**
   * Returns the score of a candidate for a key; the candidate with the highest score wins.
   *
   * @param keyHash the hash of the key
   * @param candidateHash the hash of the candidate
   * @return the score
   */
  public static long score(long keyHash, long candidateHash) {
    return HASH.newHasher(2 * Long.BYTES).putLong(keyHash).putLong(candidateHash).hash().asLong();
  }

  /**
   * Ranks candidates for a key.
   *
   * @param keyHash the hash of the key
   * @param candidates the names of the candidates
   * @return the names, best first
   */
  public static List<String> rank(long keyHash, Collection<String> candidates) {
    List<Scored> scored = new ArrayList<>(candidates.size());
    for (String candidate : candidates) {
      scored.add(new Scored(candidate, score(keyHash, hash(candidate))));
    }
    scored.sort(
        Comparator.comparingLong(Scored::score).reversed().thenComparing(Scored::candidate));
    return scored.stream().map(Scored::candidate).toList();
  }
}
