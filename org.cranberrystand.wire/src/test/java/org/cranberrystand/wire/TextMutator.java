package org.cranberrystand.wire;

import java.util.Random;

/** Mutates TOML text at random positions for fuzz tests with fixed seeds. Not thread-safe. */
public final class TextMutator {
  private static final String[] FRAGMENTS = {
    "[",
    "]",
    "[[",
    "]]",
    "=",
    "\"",
    "'",
    "\"\"\"",
    "{",
    "}",
    ",",
    ".",
    "#",
    "\n",
    "\r",
    "\t",
    "\0",
    "-1",
    "1e999",
    "99999999999999999999",
    "0x",
    "nan",
    "inf",
    "true",
    "1979-05-27",
    "\\u",
    "\\",
    "version",
    "name",
    "[[kinds]]",
    "tiers",
    "a.b.c",
    "\ud800",
    "é",
    " "
  };

  private final Random random;

  public TextMutator(long seed) {
    this.random = new Random(seed);
  }

  public String mutate(String text) {
    StringBuilder mutated = new StringBuilder(text);
    int edits = 1 + random.nextInt(4);
    for (int i = 0; i < edits; i++) {
      int from = random.nextInt(mutated.length() + 1);
      int to = Math.min(mutated.length(), from + random.nextInt(12));
      String fragment = FRAGMENTS[random.nextInt(FRAGMENTS.length)];
      switch (random.nextInt(3)) {
        case 0 -> mutated.delete(from, to);
        case 1 -> mutated.insert(from, fragment);
        default -> mutated.replace(from, to, fragment);
      }
    }
    return mutated.toString();
  }
}
