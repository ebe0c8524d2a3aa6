package org.cassiastack.consensus.internal;

import java.time.Instant;

/** What a leader knows of one other member. */
final class Progress {
  /** Index up to which the member holds the leader's log synced. */
  long match;

  /** Index of the next entry to send. */
  long next;

  /** Unanswered messages with entries. */
  int inFlight;

  /** Whether only one message is sent at a time until one succeeds. */
  boolean probing = true;

  /** Latest time of sending, by the leader's clock, that the member has answered. */
  Instant answered = Instant.MIN;

  /** When the last snapshot was sent. */
  Instant snapshotSent = Instant.MIN;

  Progress(long next) {
    this.next = next;
  }

  void succeeded(long index, Instant sentAt) {
    heard(sentAt);
    probing = false;
    match = Math.max(match, index);
    next = Math.max(next, match + 1);
    inFlight = match + 1 == next ? 0 : Math.max(0, inFlight - 1);
  }

  /** Goes back to where the logs may match; tells whether that changed anything. */
  boolean failed(long possible, Instant sentAt) {
    heard(sentAt);
    if (possible < match || possible + 1 >= next) {
      return false;
    }
    next = possible + 1;
    inFlight = 0;
    probing = true;
    return true;
  }

  /** Takes unanswered messages for lost. */
  void resend() {
    next = match + 1;
    inFlight = 0;
    probing = true;
  }

  private void heard(Instant sentAt) {
    if (sentAt.isAfter(answered)) {
      answered = sentAt;
    }
  }
}
