package org.cranberrystand.wire.peer;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;

/**
 * Writes numbered fields; fields with the value that the reader assumes are omitted. Not
 * thread-safe.
 */
final class FieldWriter {
  private static final int BUFFER_BYTES = 512;

  /** Writes the fields of a message. */
  interface Content {
    void write(FieldWriter out) throws IOException;
  }

  /** Writes the columns of one row. */
  interface Row<T> {
    void write(T value, CodedOutputStream row) throws IOException;
  }

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(BUFFER_BYTES);
  private final CodedOutputStream out = CodedOutputStream.newInstance(bytes, BUFFER_BYTES);
  private FieldWriter scratch;

  private FieldWriter() {}

  /** Returns a message that starts with a version byte. */
  static byte[] write(int version, Content content) {
    FieldWriter writer = new FieldWriter();
    try {
      writer.out.writeRawByte(version);
      content.write(writer);
      writer.out.flush();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write to memory", e);
    }
    return writer.bytes.toByteArray();
  }

  /** Writes a number unless it is the one that the reader assumes for a missing field. */
  void number(int field, long value, long assumed) throws IOException {
    if (value != assumed) {
      out.writeUInt64(field, value);
    }
  }

  void signed(int field, int value, int assumed) throws IOException {
    if (value != assumed) {
      out.writeSInt32(field, value);
    }
  }

  void fixed64(int field, long value) throws IOException {
    out.writeFixed64(field, value);
  }

  void real(int field, double value) throws IOException {
    if (value != 0) {
      out.writeDouble(field, value);
    }
  }

  void flag(int field, boolean value, boolean assumed) throws IOException {
    if (value != assumed) {
      out.writeBool(field, value);
    }
  }

  void text(int field, String value) throws IOException {
    if (!value.isEmpty()) {
      out.writeString(field, value);
    }
  }

  /** Writes a message as a field; content must not write nested fields of its own. */
  void nested(int field, Content content) throws IOException {
    FieldWriter nested = scratch();
    content.write(nested);
    appendScratch(field);
  }

  /** Writes a list as one field of packed rows. */
  <T> void rows(int field, Collection<T> values, Row<T> row) throws IOException {
    if (values.isEmpty()) {
      return;
    }
    FieldWriter nested = scratch();
    for (T value : values) {
      row.write(value, nested.out);
    }
    appendScratch(field);
  }

  private FieldWriter scratch() {
    if (scratch == null) {
      scratch = new FieldWriter();
    }
    scratch.bytes.reset();
    return scratch;
  }

  private void appendScratch(int field) throws IOException {
    scratch.out.flush();
    out.writeByteArray(field, scratch.bytes.toByteArray());
  }
}
