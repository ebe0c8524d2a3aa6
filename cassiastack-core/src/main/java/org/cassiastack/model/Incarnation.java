package org.cassiastack.model;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * One life of a process between its start and its end.
 *
 * <p>Of two incarnations of the same node the one with the higher value started later.
 *
 * @param value microseconds since the epoch at the start of the process
 * @since 0.1
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
  /** Returns the incarnation of a process that starts now. */
  public static Incarnation startedAt(Instant now) {
    return new Incarnation(ChronoUnit.MICROS.between(Instant.EPOCH, now));
  }

  /** Tells whether this incarnation ended before another began. */
  public boolean isBefore(Incarnation other) {
    return value < other.value;
  }

  @Override
  public int compareTo(Incarnation other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
