package org.cassiastack.queue;

import java.util.HexFormat;
import org.jspecify.annotations.Nullable;

/**
 * Identity of a job in a queue, chosen by the caller that submits the job. Submissions with the
 * same identity are treated as repeated requests for one job.
 *
 * @param bits the identity as an unsigned 64-bit number
 * @since 0.2
 */
public record QueuedJobId(long bits) implements Comparable<QueuedJobId> {
  private static final int HEX_DIGITS = 16;
  private static final int RADIX = 16;

  /** Parses 16 lower-case hexadecimal digits; returns null if the text is anything else. */
  public static @Nullable QueuedJobId parse(String text) {
    if (text.length() != HEX_DIGITS) {
      return null;
    }
    for (int i = 0; i < HEX_DIGITS; i++) {
      char c = text.charAt(i);
      if (!(c >= '0' && c <= '9') && !(c >= 'a' && c <= 'f')) {
        return null;
      }
    }
    return new QueuedJobId(Long.parseUnsignedLong(text, RADIX));
  }

  @Override
  public int compareTo(QueuedJobId other) {
    return Long.compareUnsigned(bits, other.bits);
  }

  @Override
  public String toString() {
    return HexFormat.of().toHexDigits(bits);
  }

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof QueuedJobId o && bits == o.bits;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(bits);
  }
}
