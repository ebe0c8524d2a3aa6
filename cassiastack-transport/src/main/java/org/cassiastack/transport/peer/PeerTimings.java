package org.cassiastack.transport.peer;

import java.time.Duration;

/**
 * How long connections may be idle.
 *
 * @param pingInterval a ping is sent when nothing was written for this long
 * @param idleTimeout a connection is closed when nothing was read for this long
 * @param minRetryDelay wait before the first new try to connect
 * @param maxRetryDelay longest wait between tries
 * @since 0.1
 */
public record PeerTimings(
    Duration pingInterval, Duration idleTimeout, Duration minRetryDelay, Duration maxRetryDelay) {
  /** Fit for processes that are some milliseconds apart. */
  public static final PeerTimings STANDARD =
      new PeerTimings(
          Duration.ofSeconds(1),
          Duration.ofSeconds(3),
          Duration.ofMillis(50),
          Duration.ofSeconds(2));
}
