package org.cassiastack.consensus.internal;

import java.time.Instant;

/** What a leader knows of one other member. */
final class Progress {
  /** Index up to which the member holds the leader's log synced. */
  long matchIndex;

  /** Index of the next entry to send. */
  long nextIndex;

  /** Unanswered messages with entries. */
  int inFlight;

  /** Whether only one message is sent at a time until one succeeds. */
  boolean probing = true;

  /** Latest time of sending, by the leader's clock, that the member has answered. */
  Instant lastAnsweredSentAt = Instant.MIN;

  /** When the last snapshot was sent. */
  Instant snapshotSentAt = Instant.MIN;

  Progress(long next) {
    this.nextIndex = next;
  }

  void onSuccess(long index, Instant sentAt) {
    heard(sentAt);
    probing = false;
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    inFlight = matchIndex + 1 == nextIndex ? 0 : Math.max(0, inFlight - 1);
  }

  /** Goes back to where the logs may match; tells whether that changed anything. */
  boolean onRejection(long possible, Instant sentAt) {
    heard(sentAt);
    if (possible < matchIndex || possible + 1 >= nextIndex) {
      return false;
    }
    nextIndex = possible + 1;
    inFlight = 0;
    probing = true;
    return true;
  }

  /** Takes unanswered messages for lost. */
  void resend() {
    nextIndex = matchIndex + 1;
    inFlight = 0;
    probing = true;
  }

  private void heard(Instant sentAt) {
    if (sentAt.isAfter(lastAnsweredSentAt)) {
      lastAnsweredSentAt = sentAt;
    }
  }
}
