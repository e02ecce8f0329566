package org.cranberrystand.daemon.gateway;

import com.google.common.base.CharMatcher;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import java.util.List;

/**
 * Checks that the bytes of messages are HTTP/1.1 (RFC 9112), from the first one on, before the
 * message is used. The decoders of the library accept more, and whoever reads the same bytes in
 * another way takes them for another message.
 *
 * <p>Accepted in addition: folded lines, and blanks between a name and its colon, both of which the
 * decoders mend. Not thread-safe.
 */
final class MessageSyntax {
  private static final String PROTOCOL = "HTTP/1.";

  /** The length of a status line up to its status, as in {@code HTTP/1.1 200}. */
  private static final int STATUS_LINE_CHARS = PROTOCOL.length() + "1 200".length();

  /** The characters of names (RFC 9110, section 5.6.2). */
  private static final CharMatcher TOKEN =
      CharMatcher.inRange('a', 'z')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('0', '9'))
          .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
          .precomputed();

  private static final int MAX_CHUNK_SIZE_DIGITS = 8;
  private static final int HEX_RADIX = 16;
  private static final char DELETE = 127;
  private static final char LF = '\n';
  private static final char CR = '\r';

  /** What the next byte belongs to. */
  private enum Part {
    STATUS_LINE {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        if (!isStatusLineChar(c, syntax.position)) {
          throw malformed(syntax.position == 0 ? "byte before the status line" : "status line", c);
        }
        syntax.position++;
        return syntax.position < STATUS_LINE_CHARS ? STATUS_LINE : STATUS_END;
      }
    },

    STATUS_END {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        if (c != ' ' && c != CR) {
          throw malformed("status of more than three digits", c);
        }
        return REASON.next(c, syntax);
      }
    },

    REASON {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        return nextOfText(c, "reason phrase", this);
      }
    },

    /** The first byte of a line of a head or of trailers. */
    LINE_START {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        if (c == CR) {
          return SECTION_END;
        } else if (isBlank(c) && syntax.hasFields) {
          return VALUE;
        } else if (!TOKEN.matches(c)) {
          throw malformed("name of a header", c);
        }
        syntax.hasFields = true;
        return NAME;
      }
    },

    NAME {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        return TOKEN.matches(c) ? NAME : NAME_END.next(c, syntax);
      }
    },

    NAME_END {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        if (c != ':' && !isBlank(c)) {
          throw malformed("name of a header", c);
        }
        return c == ':' ? VALUE : NAME_END;
      }
    },

    VALUE {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        return nextOfText(c, "value of a header", this);
      }
    },

    LINE_END {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        return afterLineFeed(c, LINE_START);
      }
    },

    SECTION_END {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        syntax.hasFields = false;
        return afterLineFeed(c, COMPLETE);
      }
    },

    /** The head or the message is complete; the decoder says what follows. */
    COMPLETE {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        throw malformed("end of a head or of trailers", c);
      }
    },

    CHUNK_SIZE {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        int digit = c < 128 ? Character.digit(c, HEX_RADIX) : -1;
        if (digit >= 0) {
          syntax.chunkBytes = syntax.chunkBytes * HEX_RADIX + digit;
          syntax.position++;
          if (syntax.position > MAX_CHUNK_SIZE_DIGITS || syntax.chunkBytes > Integer.MAX_VALUE) {
            throw new MalformedMessageException("size of a chunk is too large");
          }
          return CHUNK_SIZE;
        }
        if (syntax.position == 0) {
          throw malformed("size of a chunk", c);
        }
        return CHUNK_PADDING.next(c, syntax);
      }
    },

    CHUNK_PADDING {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        if (isBlank(c)) {
          return CHUNK_PADDING;
        }
        if (c != ';' && c != CR) {
          throw malformed("size of a chunk", c);
        }
        return CHUNK_EXTENSION.next(c, syntax);
      }
    },

    CHUNK_EXTENSION {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        if (c == CR) {
          return CHUNK_SIZE_END;
        }
        if (isControl(c)) {
          throw malformed("size of a chunk", c);
        }
        return CHUNK_EXTENSION;
      }
    },

    CHUNK_SIZE_END {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        return afterLineFeed(c, syntax.chunkBytes == 0 ? LINE_START : CHUNK);
      }
    },

    /** The content of a chunk, which is skipped as a whole. */
    CHUNK {
      @Override
      Part next(char c, MessageSyntax syntax) {
        throw new IllegalStateException("content of a chunk is not checked");
      }
    },

    CHUNK_END {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        if (c != CR) {
          throw malformed("end of a chunk", c);
        }
        return CHUNK_END_LINE;
      }
    },

    CHUNK_END_LINE {
      @Override
      Part next(char c, MessageSyntax syntax) throws MalformedMessageException {
        syntax.position = 0;
        return afterLineFeed(c, CHUNK_SIZE);
      }
    },

    /** A body without chunks, of which any byte may be a part. */
    BODY {
      @Override
      Part next(char c, MessageSyntax syntax) {
        return BODY;
      }
    };

    /** Returns what the byte after this one belongs to. */
    abstract Part next(char c, MessageSyntax syntax) throws MalformedMessageException;

    private static boolean isStatusLineChar(char c, int position) {
      return switch (position - PROTOCOL.length()) {
        case 0 -> c == '0' || c == '1';
        case 1 -> c == ' ';
        case 2 -> c >= '1' && c <= '5';
        case 3, 4 -> c >= '0' && c <= '9';
        default -> c == PROTOCOL.charAt(position);
      };
    }

    private static boolean isBlank(char c) {
      return c == ' ' || c == '\t';
    }

    private static boolean isControl(char c) {
      return (c < ' ' && c != '\t') || c == DELETE;
    }

    private static MalformedMessageException malformed(String where, char c) {
      return new MalformedMessageException(
          "malformed %s: unexpected byte 0x%02x".formatted(where, (int) c));
    }

    private static Part afterLineFeed(char c, Part next) throws MalformedMessageException {
      if (c != LF) {
        throw malformed("end of a line", c);
      }
      return next;
    }

    private static Part nextOfText(char c, String what, Part current)
        throws MalformedMessageException {
      if (c == CR) {
        return LINE_END;
      }
      if (isControl(c)) {
        throw malformed(what, c);
      }
      return current;
    }
  }

  private Part part = Part.STATUS_LINE;

  /** Characters read of the status line, or digits of the size of a chunk. */
  private int position;

  private boolean hasFields;

  /** The content of the current chunk that is yet to come, in bytes. */
  private long chunkBytes;

  /**
   * Checks the next bytes.
   *
   * @param bytes the buffer, whose indices do not change
   * @param start the index of the first byte
   * @param end the index after the last byte
   * @throws MalformedMessageException if they are no part of an HTTP/1.1 message
   */
  void check(ByteBuf bytes, int start, int end) throws MalformedMessageException {
    int index = start;
    while (index < end && part != Part.BODY) {
      if (part == Part.CHUNK) {
        int skipped = (int) Math.min(chunkBytes, end - index);
        chunkBytes -= skipped;
        index += skipped;
        part = chunkBytes == 0 ? Part.CHUNK_END : Part.CHUNK;
      } else {
        part = part.next((char) bytes.getUnsignedByte(index), this);
        index++;
      }
    }
  }

  /** Says that the head is complete and its body follows. */
  void beginBody(boolean chunked) {
    part = chunked ? Part.CHUNK_SIZE : Part.BODY;
    position = 0;
    chunkBytes = 0;
  }

  /** Says that the message is complete and another one may follow. */
  void beginMessage() {
    part = Part.STATUS_LINE;
    position = 0;
  }

  /**
   * Returns whether the end of a message is unknown, since it has a transfer coding that is not
   * exactly chunked.
   */
  static boolean hasUnknownFraming(HttpMessage head) {
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return !codings.isEmpty()
        && (codings.size() > 1 || !"chunked".equalsIgnoreCase(codings.get(0).strip()));
  }
}
