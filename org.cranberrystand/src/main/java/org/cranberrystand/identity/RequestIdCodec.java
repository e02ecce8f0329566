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
 * Text form of request identifiers, protected by a message authentication code.
 *
 * <p>The code keeps callers from inventing identifiers. Two keys may be valid at once so that the
 * fleet key can be rotated; the first one signs. Immutable and safe for use by several threads.
 */
public final class RequestIdCodec {
  private static final int MAX_TEXT_LENGTH = 128;
  private static final int PART_COUNT = 4;
  private static final int INCARNATION_TEXT_LENGTH = 16;
  private static final int MAC_BYTES = 12;
  private static final Splitter PARTS = Splitter.on('.');
  private static final BaseEncoding MAC_ENCODING = BaseEncoding.base64Url().omitPadding();
  private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

  private final ImmutableList<HashFunction> macs;

  /**
   * Creates a codec.
   *
   * @param keys the valid keys, the signing one first; at least one
   */
  public RequestIdCodec(List<byte[]> keys) {
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("at least one key is needed");
    }
    this.macs = keys.stream().map(Hashing::hmacSha256).collect(ImmutableList.toImmutableList());
  }

  /**
   * Writes an identifier.
   *
   * @param id the identifier
   * @return the text form with its authentication code
   */
  public String encode(RequestId id) {
    String text = id.toString();
    return text + "." + MAC_ENCODING.encode(mac(macs.get(0), text));
  }

  /**
   * Reads an identifier from untrusted input.
   *
   * @param text the text form
   * @return the identifier, or empty if the form or the authentication code is wrong
   */
  public Optional<RequestId> decode(String text) {
    if (text.length() > MAX_TEXT_LENGTH) {
      return Optional.empty();
    }
    List<String> parts = PARTS.splitToList(text);
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
    for (HashFunction function : macs) {
      authentic |= MessageDigest.isEqual(mac(function, signed), mac);
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

  private static byte[] mac(HashFunction function, String text) {
    return Arrays.copyOf(function.hashString(text, StandardCharsets.UTF_8).asBytes(), MAC_BYTES);
  }
}
