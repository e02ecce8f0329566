package org.cranberrystand.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.primitives.UnsignedLongs;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Highest-random-weight hashing of keys to candidates.
 *
 * <p>All nodes with the same candidates choose alike, whatever the order in which they know them.
 * When a candidate disappears, only the keys that had chosen it move. Stateless.
 */
public final class RendezvousHash {
  /** MurmurHash3; the low 64 bits are close to uniform also for short, similar names. */
  private static final HashFunction FUNCTION = Hashing.murmur3_128(0);

  private RendezvousHash() {}

  /**
   * Returns the hash of a name, for callers that score the same names many times.
   *
   * @param name any text
   * @return a 64-bit hash
   */
  public static long hash(String name) {
    return FUNCTION.hashString(name, StandardCharsets.UTF_8).asLong();
  }

  /**
   * Returns the weight of a candidate for a key.
   *
   * @param keyHash the hash of what is placed
   * @param candidateHash the hash of the name to place it on
   * @return 64 bits, to be compared as an unsigned number
   */
  public static long score(long keyHash, long candidateHash) {
    return FUNCTION
        .newHasher(2 * Long.BYTES)
        .putLong(keyHash)
        .putLong(candidateHash)
        .hash()
        .asLong();
  }

  /**
   * Returns the weight of a candidate for a key.
   *
   * @param key what is placed
   * @param candidate a name to place it on
   * @return 64 bits, to be compared as an unsigned number
   */
  public static long score(String key, String candidate) {
    return score(hash(key), hash(candidate));
  }

  /**
   * Chooses one candidate.
   *
   * @param key what is placed
   * @param candidates the names to choose from
   * @return the candidate with the highest weight, or empty when there is none
   */
  public static Optional<String> pick(String key, Collection<String> candidates) {
    return candidates.stream().max(ascending(key));
  }

  /**
   * Chooses several candidates.
   *
   * @param key what is placed
   * @param candidates the names to choose from; must be unique
   * @param count how many to choose at most
   * @return the candidates with the highest weights, the highest first
   */
  public static ImmutableList<String> top(String key, Collection<String> candidates, int count) {
    return rank(hash(key), candidates).stream()
        .limit(count)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Orders candidates by their weight for a key.
   *
   * @param key what is placed
   * @param candidates the names to order; must be unique
   * @return all candidates, the highest weight first
   */
  public static ImmutableList<String> rank(String key, Collection<String> candidates) {
    return rank(hash(key), candidates);
  }

  /**
   * Orders candidates by their weight for a key.
   *
   * @param keyHash the hash of what is placed
   * @param candidates the names to order; must be unique
   * @return all candidates, the highest weight first
   */
  public static ImmutableList<String> rank(long keyHash, Collection<String> candidates) {
    return candidates.stream()
        .map(candidate -> new Scored(candidate, score(keyHash, hash(candidate))))
        .sorted(Scored.DESCENDING)
        .map(Scored::candidate)
        .collect(ImmutableList.toImmutableList());
  }

  private static Comparator<String> ascending(String key) {
    return Comparator.<String, Long>comparing(c -> score(key, c), UnsignedLongs::compare)
        .thenComparing(Comparator.naturalOrder());
  }

  private record Scored(String candidate, long score) {
    /** Equal weights are ordered by name, so that the order of the input never matters. */
    static final Comparator<Scored> DESCENDING =
        Comparator.<Scored, Long>comparing(Scored::score, UnsignedLongs::compare)
            .thenComparing(Scored::candidate)
            .reversed();
  }
}
