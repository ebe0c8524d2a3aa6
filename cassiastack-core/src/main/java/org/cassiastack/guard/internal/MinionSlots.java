package org.cassiastack.guard.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Slots of one minion and the tasks that wait for one. */
public final class MinionSlots {
  private static final int LEAST_WAITING = 2;
  private static final int SLOTS_FOR_EACH_WAITING = 4;

  private final int slots;
  private final Deque<GuardedTask> waiting = new ArrayDeque<>();
  private int running;

  /** Makes free slots. */
  public MinionSlots(int slots) {
    this.slots = slots;
  }

  /** Adds a task behind the others. */
  public void enqueue(GuardedTask task) {
    waiting.addLast(task);
  }

  /** Removes a waiting task, if it waits here. */
  public void remove(GuardedTask task) {
    waiting.remove(task);
  }

  /** Removes every waiting task and returns them in order. */
  public List<GuardedTask> removeWaiting() {
    List<GuardedTask> all = List.copyOf(waiting);
    waiting.clear();
    return all;
  }

  /** Tells whether so many tasks wait that another coordinator had better use another minion. */
  public boolean isQueueFull() {
    return waiting.size() >= Math.max(LEAST_WAITING, slots / SLOTS_FOR_EACH_WAITING);
  }

  /** Takes the next task, or returns null while no slot is free or no task waits. */
  public @Nullable GuardedTask pollNext() {
    return running < slots ? waiting.pollFirst() : null;
  }

  /** Counts a slot as in use. */
  public void occupy() {
    running++;
  }

  /** Counts a slot as free again. */
  public void release() {
    running--;
  }

  /** Returns the number of tasks that wait or run. */
  public int active() {
    return waiting.size() + running;
  }
}
