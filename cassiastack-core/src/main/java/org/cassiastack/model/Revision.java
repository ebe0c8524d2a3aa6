package org.cassiastack.model;

/**
 * Number of an accepted configuration. Later configurations have higher numbers.
 *
 * @param value number of the revision; 0 is the empty configuration before the first change
 * @since 0.1
 */
public record Revision(long value) implements Comparable<Revision> {
  /** The revision before the first accepted change. */
  public static final Revision NONE = new Revision(0);

  /** Returns the revision that follows this one. */
  public Revision next() {
    return new Revision(value + 1);
  }

  /** Returns whether this revision is older than another revision. */
  public boolean isBefore(Revision other) {
    return value < other.value;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
