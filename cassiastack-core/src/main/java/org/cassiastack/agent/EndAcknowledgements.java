package org.cassiastack.agent;

/** Acknowledgements of ended runs that the leader has given, and that the minion was told. */
final class EndAcknowledgements {
  /** Highest sequence number that the leader has acknowledged. */
  private long through;

  /** Value of {@link #through} when the minion returned its last run lists. */
  private long throughWhenListed;

  /** What the last hold call has acknowledged. */
  private long byHold;

  /** Begins an incarnation of the minion, which numbers its ends from 1. */
  void beginIncarnation() {
    through = 0;
    throughWhenListed = 0;
  }

  /** Handles an acknowledgement of the leader; returns whether it covers further ends. */
  boolean onAcknowledged(long newThrough) {
    boolean further = newThrough > through;
    through = Math.max(through, newThrough);
    return further;
  }

  void onListed() {
    throughWhenListed = through;
  }

  /** Returns whether the minion lists ends, and nothing was acknowledged since it listed them. */
  boolean hasNoneSince(RunLists lists) {
    return !lists.ended().isEmpty() && throughWhenListed == through;
  }

  /**
   * Returns whether the minion lists ends, and the last hold call has acknowledged all it could.
   */
  boolean areAllPassedOnFor(RunLists lists) {
    return !lists.ended().isEmpty() && through <= byHold;
  }

  /**
   * Returns the sequence number for a hold call: none unless the call is known to reach the
   * incarnation that numbered the ends.
   */
  long forHoldCall(boolean verified) {
    byHold = verified ? through : 0;
    return byHold;
  }
}
