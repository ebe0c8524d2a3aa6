package org.cassiastack.schedule.faults;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Predicate;
import org.cassiastack.controller.Effect;

/** Holds chosen calls back until a test lets the minions carry them out. */
final class HeldBackCalls implements LateCalls {
  private final Queue<HeldCall> heldCalls = new ArrayDeque<>();
  private Predicate<Effect> filter = call -> false;
  private int remaining;

  /** Holds back the next call that a filter chooses, and no further one. */
  void holdBackNext(Predicate<Effect> calls) {
    filter = calls;
    remaining = 1;
  }

  /** Holds back all calls that a filter chooses from now on. */
  void holdBack(Predicate<Effect> calls) {
    filter = calls;
    remaining = Integer.MAX_VALUE;
  }

  /** Lets further calls pass; those that were held back stay so. */
  void holdBackNoMore() {
    remaining = 0;
  }

  /** Returns the number of calls that are held back. */
  int count() {
    return heldCalls.size();
  }

  /** Returns the minion of the call that has been held back for the longest time. */
  FakeMinion firstMinion() {
    return heldCalls.element().minion;
  }

  /** Makes the minion carry out the call that has been held back for the longest time. */
  void releaseFirst() {
    heldCalls.remove().execution.run();
  }

  @Override
  public boolean holdsBack(Effect call) {
    return remaining > 0 && filter.test(call);
  }

  @Override
  public boolean take(Effect call, FakeMinion minion, Runnable execution) {
    if (!holdsBack(call)) {
      return false;
    }
    remaining--;
    return heldCalls.add(new HeldCall(minion, execution));
  }

  private record HeldCall(FakeMinion minion, Runnable execution) {}
}
