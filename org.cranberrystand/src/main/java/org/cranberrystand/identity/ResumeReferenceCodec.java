package org.cranberrystand.identity;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Encodes resume references as text with a message authentication code (MAC) and decodes them.
 *
 * <p>The text is safe in a URL path. Several keys may be valid at once, so that the fleet key can
 * be rotated; the first key signs. Immutable and thread-safe.
 */
public final class ResumeReferenceCodec {
  private static final int MAX_TEXT_LENGTH = 1024;
  private static final int PART_COUNT = 4;
  // With a multiple of 3 bytes, Base64 has no unused bits, so only one text decodes to each MAC.
  private static final int MAC_BYTES = 18;
  private static final char SEPARATOR = '\n';
  private static final BaseEncoding ENCODING = BaseEncoding.base64Url().omitPadding();

  private final ImmutableList<HashFunction> macFunctions;

  /**
   * Creates a codec.
   *
   * @param keys the valid MAC keys, at least one; the first key signs
   */
  public ResumeReferenceCodec(List<byte[]> keys) {
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("at least one MAC key is required");
    }
    this.macFunctions =
        keys.stream().map(Hashing::hmacSha256).collect(ImmutableList.toImmutableList());
  }

  /**
   * Encodes a reference.
   *
   * @param reference the reference
   * @return the text form, or empty if a part contains a line feed or the text would be too long
   */
  public Optional<String> encode(ResumeReference reference) {
    String joined =
        Joiner.on(SEPARATOR)
            .join(
                reference.upstream(),
                reference.streamId(),
                reference.requestId(),
                reference.shop());
    if (Splitter.on(SEPARATOR).splitToList(joined).size() != PART_COUNT) {
      return Optional.empty();
    }
    String payload = ENCODING.encode(joined.getBytes(StandardCharsets.UTF_8));
    String text = payload + "." + ENCODING.encode(computeMac(macFunctions.get(0), payload));
    return text.length() > MAX_TEXT_LENGTH ? Optional.empty() : Optional.of(text);
  }

  /**
   * Decodes a reference from untrusted input.
   *
   * @param text the text form
   * @return the reference, or empty if the format or the MAC is invalid
   */
  public Optional<ResumeReference> decode(String text) {
    int dot = text.indexOf('.');
    if (text.length() > MAX_TEXT_LENGTH || dot < 0) {
      return Optional.empty();
    }
    try {
      String payload = text.substring(0, dot);
      if (!isAuthentic(payload, ENCODING.decode(text.substring(dot + 1)))) {
        return Optional.empty();
      }
      String joined = new String(ENCODING.decode(payload), StandardCharsets.UTF_8);
      List<String> parts = Splitter.on(SEPARATOR).splitToList(joined);
      return parts.size() == PART_COUNT
          ? Optional.of(new ResumeReference(parts.get(0), parts.get(1), parts.get(2), parts.get(3)))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private boolean isAuthentic(String payload, byte[] mac) {
    boolean authentic = false;
    for (HashFunction function : macFunctions) {
      authentic |= MessageDigest.isEqual(computeMac(function, payload), mac);
    }
    return authentic;
  }

  private static byte[] computeMac(HashFunction function, String text) {
    return Arrays.copyOf(function.hashString(text, StandardCharsets.UTF_8).asBytes(), MAC_BYTES);
  }
}
