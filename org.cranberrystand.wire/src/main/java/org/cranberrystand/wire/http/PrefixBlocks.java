package org.cranberrystand.wire.http;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.primitives.ImmutableLongArray;

/** Computes the prefix block hashes of prompts, as used in cache events. Stateless. */
public final class PrefixBlocks {
  /** Length of a block in characters. */
  public static final int BLOCK_CHARS = 64;

  /** Maximum number of blocks that are hashed; limits the work for very long prompts. */
  public static final int MAX_BLOCKS = 1024;

  private PrefixBlocks() {}

  /**
   * Hashes the complete leading blocks of a prompt; a shorter rest is ignored.
   *
   * @param prompt the prompt
   * @return one hash per block, each over the whole prefix up to the end of the block
   */
  public static ImmutableLongArray hashesOf(String prompt) {
    int count = Math.min(MAX_BLOCKS, prompt.length() / BLOCK_CHARS);
    ImmutableLongArray.Builder hashes = ImmutableLongArray.builder(count);
    long previous = 0;
    for (int i = 0; i < count; i++) {
      Hasher hasher = Hashing.sipHash24().newHasher().putLong(previous);
      hasher.putUnencodedChars(prompt.substring(i * BLOCK_CHARS, (i + 1) * BLOCK_CHARS));
      previous = hasher.hash().asLong();
      hashes.add(previous);
    }
    return hashes.build();
  }
}
