package org.cranberrystand.daemon.gateway;

import com.google.common.net.MediaType;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * A resource that a gateway serves to GET requests. Its handler must not block and may be called by
 * any thread.
 *
 * @param path the path of the resource, with a leading slash
 * @param handler creates the reply from the parameters of the query
 */
public record HttpEndpoint(String path, Function<Map<String, List<String>>, Reply> handler) {

  /**
   * A reply.
   *
   * @param status the HTTP status code
   * @param contentType the type of the body
   * @param body the body, which must not be changed afterwards
   */
  @SuppressWarnings("ArrayRecordComponent") // Replies are written once and never compared.
  public record Reply(int status, MediaType contentType, byte[] body) {}

  /**
   * Returns a reply with status 200.
   *
   * @param text the body
   * @return the reply
   */
  public static Reply ofText(String text) {
    return new Reply(200, MediaType.PLAIN_TEXT_UTF_8, text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns a reply with status 200 in a format of this program.
   *
   * @param body the body, which must not be changed afterwards
   * @return the reply
   */
  public static Reply ofBytes(byte[] body) {
    return new Reply(200, MediaType.OCTET_STREAM, body);
  }
}
