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
 * Exercises a gateway, so that the JVM loads the classes that request processing needs.
 *
 * <p>At the end of the process the JVM writes the loaded classes to a class data sharing archive.
 * With the archive, a later start does not load and verify each class, which takes most of the
 * start time on a small VM.
 */
final class TrainingRun {
  private static final int REQUEST_COUNT = 3;
  private static final List<String> ARCHIVED_CLASS_PREFIXES =
      List.of(
          "org/cranberrystand/", "io/netty/handler/codec/http/Http", "io/netty/channel/Default");

  private TrainingRun() {}

  /**
   * Sends requests to a gateway and loads the classes to archive.
   *
   * @param gateway the running gateway
   * @throws IOException if a request cannot be sent or a library cannot be read
   */
  static void execute(Gateway gateway) throws IOException {
    for (int i = 0; i < REQUEST_COUNT; i++) {
      sendRequest(gateway.callerPort());
    }
    loadArchivedClasses();
  }

  private static void sendRequest(int port) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      String text = "POST /training HTTP/1.1\r\nHost: training\r\nContent-Length: 2\r\n\r\n{}";
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.getInputStream().read();
    }
  }

  private static void loadArchivedClasses() throws IOException {
    Path libraryDirectory;
    try {
      libraryDirectory =
          Path.of(TrainingRun.class.getProtectionDomain().getCodeSource().getLocation().toURI())
              .getParent();
    } catch (URISyntaxException e) {
      throw new IOException("program is not loaded from a file", e);
    }
    try (Stream<Path> files = Files.list(libraryDirectory)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".jar")).toList()) {
        loadArchivedClasses(file);
      }
    }
  }

  private static void loadArchivedClasses(Path file) throws IOException {
    try (JarFile jar = new JarFile(file.toFile())) {
      for (JarEntry entry : jar.stream().toList()) {
        String name = entry.getName();
        if (name.endsWith(".class")
            && ARCHIVED_CLASS_PREFIXES.stream().anyMatch(name::startsWith)) {
          loadClass(name.substring(0, name.length() - ".class".length()).replace('/', '.'));
        }
      }
    }
  }

  private static void loadClass(String name) {
    try {
      Class.forName(name, false, TrainingRun.class.getClassLoader());
    } catch (ClassNotFoundException | LinkageError e) {
      // Classes that need a missing optional library; the gateway does not use them.
      System.err.println("not archived: " + name);
    }
  }
}
