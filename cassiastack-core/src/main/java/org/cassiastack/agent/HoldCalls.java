package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;

/** When hold calls are sent to a minion, and for how long an answer confirms its incarnation. */
final class HoldCalls {
  /**
   * Maximum time for which the minion waits for the end of a run before it answers a hold call. The
   * deadline of the runs is therefore extended five times within one lease.
   */
  static final Duration MAX_WAIT = Duration.ofMillis(200);

  /**
   * A minion that has not answered for this long, in addition to {@link #MAX_WAIT}, is unreachable
   * and gets no more work.
   */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);

  /**
   * Silence after which an earlier incarnation is followed as well: the clock of the machine may
   * have been set back before the minion restarted.
   */
  private static final Duration SILENCE_LIMIT = Duration.ofSeconds(3);

  /**
   * Silence after which no call from before is expected to be carried out any more. Without a
   * bound, a task would wait for ever for a minion that announces itself and answers nothing.
   */
  private static final Duration LATE_CALL_LIMIT = Duration.ofSeconds(15);

  /**
   * How long an answered hold call confirms the incarnation of the minion, counted from the sending
   * of the call: two waits and a margin. A process takes longer than that to restart.
   */
  private static final Duration VERIFICATION_VALIDITY = Duration.ofMillis(450);

  /**
   * Delay before the next hold call while the minion lists ended runs that the leader has yet to
   * acknowledge.
   */
  private static final Duration UNACKNOWLEDGED_DELAY = Duration.ofMillis(30);

  /** Delay before the next hold call after a failed call, counted from the next tick. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(50);

  private long lastNumber;
  private boolean inFlight;
  private Instant sentAt = Instant.MIN;

  /** When the last call was sent that the current incarnation of the minion has answered. */
  private Instant verifiedAt = Instant.MIN;

  /** When the last answer came that confirmed the incarnation of the minion. */
  private Instant answeredAt = Instant.MIN;

  /** When the last answer came, or the incarnation began. */
  private Instant silentSince = Instant.MIN;

  /** Earliest time of the next call; {@link Instant#MAX} between a failure and the next tick. */
  private Instant nextAt = Instant.MIN;

  /** Returns the number of the next call. */
  long nextNumber() {
    return lastNumber + 1;
  }

  /** Returns whether a call has neither been answered nor failed. */
  boolean isInFlight() {
    return inFlight;
  }

  /** Returns whether an outcome is that of the call in flight. */
  boolean isAwaited(long number) {
    return inFlight && number == lastNumber;
  }

  /**
   * Returns whether calls are known to reach the incarnation that they are meant for. After a time
   * without answers, the minion may have restarted under the same identity, and the new incarnation
   * would accept calls that are meant for the previous one.
   */
  boolean isVerified(Instant now) {
    return !now.isAfter(verifiedAt.plus(VERIFICATION_VALIDITY));
  }

  /** Returns whether the minion has answered recently enough to get work. */
  boolean isReachable(Instant now) {
    return !now.isAfter(unreachableAt());
  }

  /** Returns when the minion counts as unreachable unless it answers. */
  Instant unreachableAt() {
    return answeredAt.plus(MAX_WAIT).plus(ANSWER_TIMEOUT);
  }

  /**
   * Returns whether the minion has been silent for so long that its clock may have been set back.
   */
  boolean isLongSilent(Instant now) {
    return now.isAfter(answeredAt.plus(SILENCE_LIMIT));
  }

  /** Returns whether a call that was made before the minion became silent may still arrive. */
  boolean mayCallsArrive(Instant now) {
    return !now.isAfter(silentSince.plus(LATE_CALL_LIMIT));
  }

  /** Makes the minion unreachable until it answers again. */
  void forgetAnswers() {
    answeredAt = Instant.MIN;
  }

  /** Begins an incarnation of the minion, which has answered nothing. */
  void beginIncarnation(Instant now) {
    forgetAnswers();
    silentSince = now;
    verifyAgain();
  }

  /** Makes the next call due at once; the incarnation is unconfirmed until it is answered. */
  void verifyAgain() {
    verifiedAt = Instant.MIN;
    inFlight = false;
    lastNumber++;
    nextAt = Instant.MIN;
  }

  /** Makes the next call due as soon as no call is in flight. */
  void makeDue() {
    nextAt = Instant.MIN;
  }

  /**
   * Records the answer to the call in flight.
   *
   * @param awaitsAcknowledgement whether the minion lists ends that cannot be acknowledged yet
   */
  void answered(boolean awaitsAcknowledgement, Instant now) {
    inFlight = false;
    verifiedAt = sentAt;
    // An answer that was read after a pause tells nothing about the present.
    answeredAt = isVerified(now) ? now : answeredAt;
    silentSince = now;
    nextAt = awaitsAcknowledgement ? now.plus(UNACKNOWLEDGED_DELAY) : Instant.MIN;
  }

  /** Records that the call in flight has failed. */
  void failed() {
    inFlight = false;
    verifiedAt = Instant.MIN;
    nextAt = Instant.MAX;
  }

  /** Sets the time of the next call after a failed one. */
  void onTick(Instant now) {
    if (nextAt.equals(Instant.MAX)) {
      nextAt = now.plus(RETRY_DELAY);
    }
  }

  /** Returns when a call or a tick is due; {@link Instant#MAX} while a call is in flight. */
  Instant nextTickAt(Instant now) {
    if (inFlight) {
      return Instant.MAX;
    }
    return nextAt.equals(Instant.MAX) ? now : nextAt;
  }

  boolean isDue(Instant now) {
    return !inFlight && !now.isBefore(nextAt);
  }

  /** Records that a call is sent; returns its number. */
  long send(Instant now) {
    inFlight = true;
    sentAt = now;
    lastNumber++;
    return lastNumber;
  }
}
