package org.cassiastack.request;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * When a caller's request was read, and what bounds the time at which the caller sent it. A caller
 * that waits for each answer sends a request only after its connection was opened and after the
 * answer to its previous request on the connection.
 *
 * @param readAt when the head of the request was read
 * @param connectedSince earliest time at which the connection can have been opened, or null if it
 *     is not known
 * @param answeredAt when the previous request on the connection was answered, or null if there was
 *     none
 * @param pause length of the pause of the reading thread during which the request may have arrived;
 *     zero if there was no pause shortly before
 * @since 0.5
 */
public record RequestArrival(
    Instant readAt,
    @Nullable Instant connectedSince,
    @Nullable Instant answeredAt,
    Duration pause) {
  /** Returns the arrival as inputs of a decision or as a part of a log line. */
  public String describe() {
    return "read="
        + readAt
        + " connection_age="
        + ageOf(connectedSince)
        + " idle="
        + ageOf(answeredAt)
        + " read_pause="
        + pause;
  }

  private String ageOf(@Nullable Instant time) {
    return time == null ? "none" : Duration.between(time, readAt).toString();
  }
}
