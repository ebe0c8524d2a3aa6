package org.cassiastack.model;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import org.jspecify.annotations.Nullable;

/**
 * One run of a process, from its start to its end.
 *
 * <p>Of two incarnations of the same node, the incarnation with the higher value started later.
 *
 * @param value start time of the process in microseconds since the Unix epoch
 * @since 0.1
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
  /** Returns the incarnation of a process that starts at the given time. */
  public static Incarnation startedAt(Instant now) {
    return new Incarnation(ChronoUnit.MICROS.between(Instant.EPOCH, now));
  }

  /**
   * Returns whether this incarnation of a node started before another incarnation of the same node.
   */
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

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof Incarnation o && value == o.value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }
}
