package org.cassiastack.transport.peer;

import java.time.Duration;

/**
 * Timeouts and retry delays of connections.
 *
 * @param pingInterval time without a write after which a ping is sent
 * @param idleTimeout time without incoming data after which a connection is closed; also the
 *     timeout of an attempt to connect
 * @param minRetryDelay delay before the first repeated attempt to connect
 * @param maxRetryDelay maximum delay between attempts to connect
 * @since 0.1
 */
public record PeerTimings(
    Duration pingInterval, Duration idleTimeout, Duration minRetryDelay, Duration maxRetryDelay) {
  /** Values for processes between which the network latency is a few milliseconds. */
  public static final PeerTimings STANDARD =
      new PeerTimings(
          Duration.ofSeconds(1),
          Duration.ofSeconds(3),
          Duration.ofMillis(50),
          Duration.ofSeconds(2));
}
