package org.cranberrystand.wire.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.cranberrystand.wire.Json;

/**
 * Body of a completion request.
 *
 * @param prompt the prompt
 * @param maxTokens the limit of the output in tokens, or 0 if the caller set none
 * @param stream whether the response is an event stream
 */
public record CompletionRequest(String prompt, int maxTokens, boolean stream) {

  /**
   * Parses a body; the input is untrusted.
   *
   * @param body the body
   * @return the request
   * @throws IOException if the body is not a valid completion request; the message names the defect
   */
  public static CompletionRequest parse(byte[] body) throws IOException {
    JsonNode tree;
    try {
      tree = Json.readTree(body);
    } catch (IOException e) {
      throw new IOException("the body is not JSON", e);
    }
    if (tree == null || !tree.isObject()) {
      throw new IOException("the body is not a JSON object");
    }
    if (!tree.path("prompt").isTextual()) {
      throw new IOException("prompt must be a string");
    }
    JsonNode maxTokens = tree.path("max_tokens");
    if (!maxTokens.isMissingNode()
        && !(maxTokens.isIntegralNumber()
            && maxTokens.canConvertToInt()
            && maxTokens.asInt() > 0)) {
      throw new IOException("max_tokens must be a positive whole number");
    }
    JsonNode stream = tree.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw new IOException("stream must be true or false");
    }
    return new CompletionRequest(
        tree.path("prompt").asText(), maxTokens.asInt(0), stream.asBoolean(true));
  }
}
