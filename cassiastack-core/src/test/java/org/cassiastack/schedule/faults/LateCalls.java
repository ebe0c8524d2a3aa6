package org.cassiastack.schedule.faults;

import org.cassiastack.controller.Effect;

/**
 * Decides which calls without an answer a minion carries out later, in whatever incarnation it is
 * in by then. The users' protocol allows this: a minion that is back under its identity takes calls
 * that were made for its former incarnation.
 */
interface LateCalls {
  /** No call reaches a later incarnation. */
  LateCalls NONE =
      new LateCalls() {
        @Override
        public boolean holdsBack(Effect call) {
          return false;
        }

        @Override
        public boolean take(Effect call, FakeMinion minion, Runnable execution) {
          return false;
        }
      };

  /** Returns whether a call to a minion that accepts calls stays on its way, without an answer. */
  boolean holdsBack(Effect call);

  /**
   * Takes a call that gets no answer: it was held back or left unanswered, was in flight when the
   * minion crashed, or came while the minion was down.
   *
   * @param execution makes the minion carry the call out
   * @return whether the call may be carried out by a later incarnation
   */
  boolean take(Effect call, FakeMinion minion, Runnable execution);
}
