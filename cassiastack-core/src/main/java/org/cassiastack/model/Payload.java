package org.cassiastack.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Opaque bytes that are sent to a minion or returned by a minion, compared by content.
 *
 * @since 0.1
 */
public final class Payload {
  /** A payload of zero bytes. */
  public static final Payload EMPTY = new Payload(new byte[0]);

  private final byte[] bytes;

  private Payload(byte[] bytes) {
    this.bytes = bytes;
  }

  /**
   * Creates a payload that uses an array without copying the array.
   *
   * @param bytes the content; the caller must not change it afterwards
   */
  public static Payload wrap(byte[] bytes) {
    return bytes.length == 0 ? EMPTY : new Payload(bytes);
  }

  /** Creates a payload from the UTF-8 encoding of a text. */
  public static Payload ofText(String text) {
    return wrap(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the number of bytes. */
  public int size() {
    return bytes.length;
  }

  /** Returns a copy of the bytes. */
  public byte[] toByteArray() {
    return bytes.clone();
  }

  /** Returns a read-only view of the bytes. */
  public ByteBuffer asByteBuffer() {
    return ByteBuffer.wrap(bytes).asReadOnlyBuffer();
  }

  /** Returns the text that results from decoding the bytes as UTF-8. */
  public String toText() {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Payload p && Arrays.equals(bytes, p.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return bytes.length + " bytes";
  }
}
