package org.cranberrystand.daemon.internal;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.util.Checked;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.bundle.SignedBundle;
import org.cranberrystand.wire.operator.RolloutReport;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/**
 * Reads the published bundle from the configuration service for operator reports.
 *
 * <p>Safe for use by several threads.
 */
public final class PublishedBundleReader implements AutoCloseable {
  private static final String SOURCE = "config-service";
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final URI uri;
  private final BundleSignatures signatures;
  private final HttpClient client;

  /**
   * Creates a reader.
   *
   * @param state the state of the node
   * @throws Exception if the client cannot be created
   */
  public PublishedBundleReader(NodeState state) throws Exception {
    this.uri = URI.create("http://" + state.settings().configService() + "/v1/values/bundle/head");
    this.signatures = new BundleSignatures(state.settings().trustedKeys());
    this.client =
        HttpClient.of(
            spec -> spec.useJdkAddressResolver().connectTimeout(TIMEOUT).readTimeout(TIMEOUT));
  }

  /**
   * Reads the published bundle.
   *
   * @return the state of the published bundle; never fails, since a failure of the service is
   *     reported as a state
   */
  public Promise<RolloutReport.Published> read() {
    return client
        .get(uri)
        .map(this::interpret)
        .mapError(cause -> noBundle(RolloutReport.State.UNAVAILABLE, cause.toString()));
  }

  @Override
  public void close() {
    client.close();
  }

  private RolloutReport.Published interpret(ReceivedResponse response) {
    if (response.getStatusCode() == 404) {
      return noBundle(RolloutReport.State.ABSENT, "");
    }
    if (response.getStatusCode() != 200) {
      return noBundle(RolloutReport.State.UNAVAILABLE, "status " + response.getStatusCode());
    }
    try {
      SignedBundle signed = Json.read(response.getBody().getBytes(), SignedBundle.class);
      Checked<Bundle> checked = signatures.verify(SOURCE, signed);
      if (checked instanceof Checked.Valid<Bundle> valid) {
        Bundle bundle = valid.value();
        return new RolloutReport.Published(
            RolloutReport.State.VALID, bundle.version(), bundle.digest(), "");
      }
      return noBundle(RolloutReport.State.INVALID, checked.findingsOrEmpty().toString());
    } catch (IOException e) {
      return noBundle(RolloutReport.State.INVALID, "not a signed bundle");
    }
  }

  private static RolloutReport.Published noBundle(RolloutReport.State state, String detail) {
    return new RolloutReport.Published(state, 0, "", detail);
  }
}
