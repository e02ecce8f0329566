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
 * Rendezvous (highest random weight) hashing of keys to candidates.
 *
 * <p>All nodes with the same set of candidates make the same choice, independent of the order of
 * the candidates. When a candidate is removed, only the keys mapped to it move. Stateless.
 */
public final class RendezvousHash {
  /** MurmurHash3; its low 64 bits are nearly uniform even for short, similar names. */
  private static final HashFunction HASH_FUNCTION = Hashing.murmur3_128(0);

  private RendezvousHash() {}

  /**
   * Returns the hash of a name, for callers that score the same names repeatedly.
   *
   * @param name any text
   * @return a 64-bit hash
   */
  public static long hash(String name) {
    return HASH_FUNCTION.hashString(name, StandardCharsets.UTF_8).asLong();
  }

  /**
   * Returns the weight of a candidate for a key.
   *
   * @param keyHash the hash of the key to place
   * @param candidateHash the hash of the name of the candidate
   * @return the weight, to be compared as an unsigned number
   */
  public static long score(long keyHash, long candidateHash) {
    return HASH_FUNCTION
        .newHasher(2 * Long.BYTES)
        .putLong(keyHash)
        .putLong(candidateHash)
        .hash()
        .asLong();
  }

  /**
   * Returns the weight of a candidate for a key.
   *
   * @param key the key to place
   * @param candidate the name of the candidate
   * @return the weight, to be compared as an unsigned number
   */
  public static long score(String key, String candidate) {
    return score(hash(key), hash(candidate));
  }

  /**
   * Returns the candidate with the highest weight for a key.
   *
   * @param key the key to place
   * @param candidates the names to choose from
   * @return the candidate, or empty if there are no candidates
   */
  public static Optional<String> pick(String key, Collection<String> candidates) {
    return candidates.stream().max(ascending(key));
  }

  /**
   * Returns the candidates with the highest weights for a key.
   *
   * @param key the key to place
   * @param candidates the names to choose from; must be unique
   * @param count the maximum number of candidates to return
   * @return the candidates, highest weight first
   */
  public static ImmutableList<String> top(String key, Collection<String> candidates, int count) {
    return rank(hash(key), candidates).stream()
        .limit(count)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Orders candidates by their weight for a key.
   *
   * @param key the key to place
   * @param candidates the names to order; must be unique
   * @return all candidates, highest weight first
   */
  public static ImmutableList<String> rank(String key, Collection<String> candidates) {
    return rank(hash(key), candidates);
  }

  /**
   * Orders candidates by their weight for a key.
   *
   * @param keyHash the hash of the key to place
   * @param candidates the names to order; must be unique
   * @return all candidates, highest weight first
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
    /** Breaks ties by name, so that the result is independent of the input order. */
    static final Comparator<Scored> DESCENDING =
        Comparator.<Scored, Long>comparing(Scored::score, UnsignedLongs::compare)
            .thenComparing(Scored::candidate)
            .reversed();
  }
}
