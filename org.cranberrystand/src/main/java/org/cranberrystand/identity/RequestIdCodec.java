package org.cranberrystand.identity;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import com.google.common.primitives.Longs;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Encodes request identifiers as text with a message authentication code (MAC) and decodes them.
 *
 * <p>The MAC prevents callers from forging identifiers. Several keys may be valid at once, so that
 * the fleet key can be rotated; the first key signs. Immutable and thread-safe.
 */
public final class RequestIdCodec {
  private static final int MAX_TEXT_LENGTH = 128;
  private static final int PART_COUNT = 4;
  private static final int INCARNATION_TEXT_LENGTH = 16;
  private static final int MAC_BYTES = 12;
  private static final Splitter PART_SPLITTER = Splitter.on('.');
  private static final BaseEncoding MAC_ENCODING = BaseEncoding.base64Url().omitPadding();
  private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

  private final ImmutableList<HashFunction> macFunctions;

  /**
   * Creates a codec.
   *
   * @param keys the valid MAC keys, at least one; the first key signs
   */
  public RequestIdCodec(List<byte[]> keys) {
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("at least one MAC key is required");
    }
    this.macFunctions =
        keys.stream().map(Hashing::hmacSha256).collect(ImmutableList.toImmutableList());
  }

  /**
   * Encodes an identifier.
   *
   * @param id the identifier
   * @return the text form, including the MAC
   */
  public String encode(RequestId id) {
    String text = id.toString();
    return text + "." + MAC_ENCODING.encode(computeMac(macFunctions.get(0), text));
  }

  /**
   * Decodes an identifier from untrusted input.
   *
   * @param text the text form
   * @return the identifier, or empty if the format or the MAC is invalid
   */
  public Optional<RequestId> decode(String text) {
    if (text.length() > MAX_TEXT_LENGTH) {
      return Optional.empty();
    }
    List<String> parts = PART_SPLITTER.splitToList(text);
    if (parts.size() != PART_COUNT || !isAuthentic(text, parts.get(3))) {
      return Optional.empty();
    }
    return parse(parts);
  }

  private boolean isAuthentic(String text, String macText) {
    byte[] mac;
    try {
      mac = MAC_ENCODING.decode(macText);
    } catch (IllegalArgumentException e) {
      return false;
    }
    String signed = text.substring(0, text.length() - macText.length() - 1);
    boolean authentic = false;
    for (HashFunction function : macFunctions) {
      authentic |= MessageDigest.isEqual(computeMac(function, signed), mac);
    }
    return authentic;
  }

  private static Optional<RequestId> parse(List<String> parts) {
    if (!Incarnation.isValidNodeName(parts.get(0))
        || parts.get(1).length() != INCARNATION_TEXT_LENGTH) {
      return Optional.empty();
    }
    try {
      long incarnation = Longs.fromByteArray(HEX.decode(parts.get(1)));
      long sequence = Long.parseLong(parts.get(2), Character.MAX_RADIX);
      return sequence < 0
          ? Optional.empty()
          : Optional.of(new RequestId(new Incarnation(parts.get(0), incarnation), sequence));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static byte[] computeMac(HashFunction function, String text) {
    return Arrays.copyOf(function.hashString(text, StandardCharsets.UTF_8).asBytes(), MAC_BYTES);
  }
}
