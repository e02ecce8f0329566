package org.cranberrystand.pgm;

import java.nio.file.Path;
import java.security.PrivateKey;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Findings;
import org.cranberrystand.wire.TomlDocument;
import org.cranberrystand.wire.TomlReader;
import org.cranberrystand.wire.bundle.BundleSignatures;

/**
 * Private key of an operator, as stored in a key file.
 *
 * @param id the name of the key in the settings of the nodes
 * @param key the key
 */
record KeyFile(String id, PrivateKey key) {

  /**
   * Reads a key file.
   *
   * @param file the file
   * @return the key
   * @throws CommandException if the file cannot be read or is invalid
   */
  static KeyFile read(Path file) {
    Checked<KeyFile> checked = parse(file.toString(), BundleFiles.readText(file));
    if (checked instanceof Checked.Invalid<KeyFile> invalid) {
      throw CommandException.invalid(invalid.findings());
    }
    return checked.orElseThrow();
  }

  private static Checked<KeyFile> parse(String file, String text) {
    return TomlDocument.parse(file, text).flatMap(document -> read(file, document));
  }

  private static Checked<KeyFile> read(String file, TomlDocument document) {
    Findings findings = new Findings(file);
    TomlReader root = TomlReader.ofRoot(document, findings);
    String id = root.getRequiredString("id");
    String encoded = root.getRequiredString("private_key");
    root.rejectUnknownKeys();
    PrivateKey key = null;
    try {
      key = BundleSignatures.decodePrivateKey(encoded);
    } catch (IllegalArgumentException e) {
      root.report("private_key", "must be an Ed25519 key as written by \"key generate\"");
    }
    PrivateKey decodedKey = key;
    return findings.toChecked(() -> new KeyFile(id, decodedKey));
  }
}
