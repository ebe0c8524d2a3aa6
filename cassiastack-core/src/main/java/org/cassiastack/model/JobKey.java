package org.cassiastack.model;

import java.time.Instant;
import java.util.UUID;

/**
 * Identity that a caller assigns to a job: a UUID of version 7 (RFC 9562).
 *
 * <p>The first 48 bits are the time of issue in milliseconds since the Unix epoch. This time
 * distinguishes a key that is older than the retention period from a key that was never seen.
 *
 * @param value the UUID, of version 7
 * @since 0.1
 */
public record JobKey(UUID value) implements Comparable<JobKey> {
  private static final int REQUIRED_VERSION = 7;
  private static final int TIMESTAMP_SHIFT_BITS = 16;

  /**
   * Parses the canonical text form of a key.
   *
   * @param text 36 characters, such as {@code 01890a5d-ac96-774b-bcce-b302099a8057}
   * @throws CassiaException with {@link ResultCode#INVALID_KEY} when the text is not a UUID of
   *     version 7
   */
  public static JobKey parse(String text) throws CassiaException {
    UUID uuid;
    try {
      uuid = UUID.fromString(text);
    } catch (IllegalArgumentException e) {
      throw CassiaException.of(Refusals.invalidKey(text));
    }
    if (uuid.version() != REQUIRED_VERSION) {
      throw CassiaException.of(Refusals.invalidKey(text));
    }
    return new JobKey(uuid);
  }

  /**
   * Creates a key from a time of issue and random bits.
   *
   * @param issuedAt the time of issue
   * @param randomHigh random bits; the low 12 are used
   * @param randomLow random bits; the low 62 are used
   */
  public static JobKey of(Instant issuedAt, long randomHigh, long randomLow) {
    long high = (issuedAt.toEpochMilli() << TIMESTAMP_SHIFT_BITS) | 0x7000L | (randomHigh & 0xFFFL);
    long low = 0x8000000000000000L | (randomLow & 0x3FFFFFFFFFFFFFFFL);
    return new JobKey(new UUID(high, low));
  }

  /** Returns the time of issue that the key contains, in whole milliseconds. */
  public Instant issuedAt() {
    return Instant.ofEpochMilli(value.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS);
  }

  @Override
  public int compareTo(JobKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value.toString();
  }
}
