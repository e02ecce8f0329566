package org.cranberrystand.fake;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.cranberrystand.util.Checked;
import org.cranberrystand.wire.platform.VmEntry;

/**
 * Runs the fakes as one process: configuration service, VM list, engines and plain services.
 *
 * <p>Publishes the bundle file whenever its content changes, so that an operator publishes a bundle
 * by writing the file.
 */
public final class Main {
  private static final int EXIT_INVALID = 2;
  private static final long POLL_MILLIS = 200;
  private static final String BUNDLE_KEY = "bundle/head";

  private final PlatformFile file;
  private final PrintStream out;
  private final FakePlatform platform;
  private final List<VmEntry> upstreams = new ArrayList<>();
  private String publishedText;

  private Main(PlatformFile file, PrintStream out) throws Exception {
    this.file = file;
    this.out = out;
    this.platform = new FakePlatform(file.port());
  }

  /**
   * Runs the fakes until the process is ended.
   *
   * @param args the name of the TOML file
   * @throws Exception if a port cannot be opened
   */
  public static void main(String[] args) throws Exception {
    if (args.length != 1 || args[0].startsWith("-")) {
      System.err.println("usage: platform FILE (see config/platform.toml)");
      System.exit(EXIT_INVALID);
    }
    Path path = Path.of(args[0]);
    String text;
    try {
      text = Files.readString(path);
    } catch (IOException e) {
      System.err.println("cannot read " + path + ": " + e);
      System.exit(EXIT_INVALID);
      return;
    }
    Checked<PlatformFile> file = PlatformFile.parse(args[0], text);
    if (file instanceof Checked.Invalid<PlatformFile> invalid) {
      invalid.findings().forEach(System.err::println);
      System.exit(EXIT_INVALID);
    }
    new Main(file.orElseThrow(), System.out).run();
  }

  private void run() throws Exception {
    for (PlatformFile.Upstream upstream : file.upstreams()) {
      upstreams.add(startUpstream(upstream));
    }
    List<VmEntry> listedVms = new ArrayList<>(upstreams);
    listedVms.addAll(file.nodes());
    platform.setVms(listedVms);
    out.println("configuration service and VM list on " + platform.address());
    upstreams.forEach(vm -> out.println(vm.pool() + " " + vm.name() + " on " + vm.address()));
    while (true) {
      publishIfChanged();
      Thread.sleep(POLL_MILLIS);
    }
  }

  private static VmEntry startUpstream(PlatformFile.Upstream upstream) throws Exception {
    String address =
        upstream.speed() == null
            ? new FakeOrderService(upstream.name(), upstream.port()).address().toString()
            : new FakeModelEngine(upstream.name(), upstream.speed(), upstream.port())
                .address()
                .toString();
    return VmEntry.upstream(upstream.name(), upstream.pool(), address, upstream.failureDomain());
  }

  private void publishIfChanged() throws IOException {
    if (!Files.exists(file.bundleFile())) {
      return;
    }
    String text = Files.readString(file.bundleFile());
    if (!text.isBlank() && !Objects.equals(text, publishedText)) {
      platform.publish(BUNDLE_KEY, text);
      publishedText = text;
      out.println("published " + file.bundleFile());
    }
  }
}
