package org.cassiastack.consensus.internal;

import java.time.Instant;

/** The leader's view of another member's log and replies. */
final class Progress {
  /** Index up to which the member's durable log equals the leader's log. */
  long matchIndex;

  /** Index of the next entry to send. */
  long nextIndex;

  /** Number of unanswered messages with entries. */
  int inFlight;

  /** Whether only one message with entries is sent at a time, until one succeeds. */
  boolean probing = true;

  /** Latest sending time, by the leader's clock, of a message that the member has answered. */
  Instant lastAnsweredSentAt = Instant.MIN;

  /** When the latest snapshot was sent. */
  Instant snapshotSentAt = Instant.MIN;

  Progress(long nextIndex) {
    this.nextIndex = nextIndex;
  }

  void onSuccess(long index, Instant sentAt) {
    recordAnswer(sentAt);
    probing = false;
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    inFlight = matchIndex + 1 == nextIndex ? 0 : Math.max(0, inFlight - 1);
  }

  /**
   * Moves {@link #nextIndex} back to the first index after the highest possible match; returns
   * whether that changed anything.
   */
  boolean onRejection(long highestPossibleMatch, Instant sentAt) {
    recordAnswer(sentAt);
    if (highestPossibleMatch < matchIndex || highestPossibleMatch + 1 >= nextIndex) {
      return false;
    }
    nextIndex = highestPossibleMatch + 1;
    inFlight = 0;
    probing = true;
    return true;
  }

  /** Treats unanswered messages as lost, so that their entries are sent again. */
  void resend() {
    nextIndex = matchIndex + 1;
    inFlight = 0;
    probing = true;
  }

  private void recordAnswer(Instant sentAt) {
    if (sentAt.isAfter(lastAnsweredSentAt)) {
      lastAnsweredSentAt = sentAt;
    }
  }
}
