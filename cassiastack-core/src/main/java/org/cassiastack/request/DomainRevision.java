package org.cassiastack.request;

import org.jspecify.annotations.Nullable;

/**
 * Position in the sequence of the orders that a leader has taken for failure domains. An order that
 * names a revision takes effect only if no other order for its domain was taken since.
 *
 * <p>The text form is {@code term.number}, for example {@code 17.3}.
 *
 * @param term term of the leader
 * @param number number of the last order that the leader has taken in this term; the first order
 *     has the number 2
 * @since 0.2
 */
public record DomainRevision(long term, int number) {
  /** Parses the text form of a revision; returns null if the text is not valid. */
  public static @Nullable DomainRevision parse(String text) {
    int dot = text.indexOf('.');
    try {
      return dot < 0
          ? null
          : new DomainRevision(
              Long.parseLong(text.substring(0, dot)), Integer.parseInt(text.substring(dot + 1)));
    } catch (NumberFormatException e) {
      return null;
    }
  }

  @Override
  public String toString() {
    return term + "." + number;
  }
}
