package org.cranberrystand.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.stream.Stream;
import org.cranberrystand.daemon.gateway.Gateway;

/**
 * Uses a gateway for a moment, so that the runtime loads the classes that a busy one needs.
 *
 * <p>The runtime writes them to an archive at the end of the process. A restart then does not load
 * and verify them one by one, which takes most of the time of a start on a small VM.
 */
final class TrainingRun {
  private static final int REQUESTS = 3;
  private static final List<String> ARCHIVED_PACKAGES =
      List.of(
          "org/cranberrystand/", "io/netty/handler/codec/http/Http", "io/netty/channel/Default");

  private TrainingRun() {}

  /**
   * Sends requests and loads the classes of the program.
   *
   * @param gateway the running gateway
   * @throws IOException if a request cannot be sent or a library cannot be read
   */
  static void execute(Gateway gateway) throws IOException {
    for (int i = 0; i < REQUESTS; i++) {
      request(gateway.callerPort());
    }
    loadClasses();
  }

  private static void request(int port) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      String text = "POST /training HTTP/1.1\r\nHost: training\r\nContent-Length: 2\r\n\r\n{}";
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.getInputStream().read();
    }
  }

  private static void loadClasses() throws IOException {
    Path libraries;
    try {
      libraries =
          Path.of(TrainingRun.class.getProtectionDomain().getCodeSource().getLocation().toURI())
              .getParent();
    } catch (URISyntaxException e) {
      throw new IOException("place of the program is not a file", e);
    }
    try (Stream<Path> files = Files.list(libraries)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".jar")).toList()) {
        loadClasses(file);
      }
    }
  }

  private static void loadClasses(Path file) throws IOException {
    try (JarFile jar = new JarFile(file.toFile())) {
      for (JarEntry entry : jar.stream().toList()) {
        String name = entry.getName();
        if (name.endsWith(".class") && ARCHIVED_PACKAGES.stream().anyMatch(name::startsWith)) {
          load(name.substring(0, name.length() - ".class".length()).replace('/', '.'));
        }
      }
    }
  }

  private static void load(String name) {
    try {
      Class.forName(name, false, TrainingRun.class.getClassLoader());
    } catch (ClassNotFoundException | LinkageError e) {
      // Classes for optional libraries cannot be loaded; the gateway does not use them.
      System.err.println("not archived: " + name);
    }
  }
}
