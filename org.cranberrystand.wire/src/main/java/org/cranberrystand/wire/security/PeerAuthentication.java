package org.cranberrystand.wire.security;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.List;

/**
 * Signs and verifies calls between nodes with HMAC-SHA256.
 *
 * <p>The MAC covers the method, the path, the digest of the body, the wall-clock time and a nonce.
 * Calls whose time differs too much from the local clock are refused. Thread-safe.
 */
public final class PeerAuthentication {
  /** Name of the header that carries the time, the nonce and the MAC. */
  public static final String HEADER = "Cranberrystand-Peer-Auth";

  private static final int NONCE_BYTES = 12;
  private static final int HEADER_FIELD_COUNT = 3;
  private static final long MAX_CLOCK_SKEW_MILLIS = 60_000;
  private static final BaseEncoding ENCODING = BaseEncoding.base64Url().omitPadding();
  private static final Splitter HEADER_FIELDS = Splitter.on('.');

  private final ImmutableList<HashFunction> macs;
  private final SecureRandom random = new SecureRandom();

  /**
   * Creates an instance.
   *
   * @param keys the valid keys, the signing key first; at least one
   */
  public PeerAuthentication(List<byte[]> keys) {
    this.macs = keys.stream().map(Hashing::hmacSha256).collect(ImmutableList.toImmutableList());
  }

  /**
   * Signs a call.
   *
   * @param method the HTTP method
   * @param path the path without leading slash
   * @param body the body
   * @param wallMillis the wall-clock time in milliseconds since the epoch
   * @return the value of the header
   */
  public String sign(String method, String path, byte[] body, long wallMillis) {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    String nonceText = ENCODING.encode(nonce);
    byte[] mac = mac(macs.get(0), method, path, body, wallMillis + "." + nonceText);
    return wallMillis + "." + nonceText + "." + ENCODING.encode(mac);
  }

  /**
   * Verifies a call.
   *
   * @param header the value of the header; may be null
   * @param method the HTTP method
   * @param path the path without leading slash
   * @param body the body
   * @param wallMillis the wall-clock time in milliseconds since the epoch
   * @return true if the MAC is valid and the time is within the accepted clock skew
   */
  public boolean verify(String header, String method, String path, byte[] body, long wallMillis) {
    if (header == null) {
      return false;
    }
    List<String> fields = HEADER_FIELDS.splitToList(header);
    if (fields.size() != HEADER_FIELD_COUNT) {
      return false;
    }
    try {
      long sentMillis = Long.parseLong(fields.get(0));
      byte[] receivedMac = ENCODING.decode(fields.get(2));
      String timeAndNonce = fields.get(0) + "." + fields.get(1);
      boolean authentic = false;
      for (HashFunction function : macs) {
        authentic |=
            MessageDigest.isEqual(mac(function, method, path, body, timeAndNonce), receivedMac);
      }
      return authentic && Math.abs(wallMillis - sentMillis) <= MAX_CLOCK_SKEW_MILLIS;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static byte[] mac(
      HashFunction function, String method, String path, byte[] body, String timeAndNonce) {
    String bodyDigest = Hashing.sha256().hashBytes(body).toString();
    String text = method + "\n" + path + "\n" + bodyDigest + "\n" + timeAndNonce;
    return function.hashString(text, StandardCharsets.UTF_8).asBytes();
  }
}
