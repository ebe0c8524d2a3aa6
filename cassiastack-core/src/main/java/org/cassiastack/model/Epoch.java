package org.cassiastack.model;

/**
 * Number that orders successive coordinators of the same jobs. A higher epoch fences every lower
 * epoch.
 *
 * @param value the number, starting at 1
 * @since 0.1
 */
public record Epoch(long value) implements Comparable<Epoch> {
  /** Returns the epoch that follows this one. */
  public Epoch next() {
    return new Epoch(value + 1);
  }

  /** Returns whether this epoch is lower than another epoch, which therefore fences this epoch. */
  public boolean isBefore(Epoch other) {
    return value < other.value;
  }

  @Override
  public int compareTo(Epoch other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
