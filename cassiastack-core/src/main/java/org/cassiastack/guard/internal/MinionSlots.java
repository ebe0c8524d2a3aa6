package org.cassiastack.guard.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Slots of one minion and the queue of the tasks that wait for a slot. */
public final class MinionSlots {
  private static final int MIN_QUEUE_LIMIT = 2;
  private static final int SLOTS_PER_QUEUED_TASK = 4;

  private final int slots;
  private final Deque<GuardedTask> queue = new ArrayDeque<>();
  private int running;

  /** Creates the given number of free slots and an empty queue. */
  public MinionSlots(int slots) {
    this.slots = slots;
  }

  /** Adds a task to the end of the queue. */
  public void enqueue(GuardedTask task) {
    queue.addLast(task);
  }

  /** Removes a task from the queue, if the queue contains the task. */
  public void remove(GuardedTask task) {
    queue.remove(task);
  }

  /** Removes all tasks from the queue and returns them in queue order. */
  public List<GuardedTask> removeQueued() {
    List<GuardedTask> all = List.copyOf(queue);
    queue.clear();
    return all;
  }

  /** Returns whether so many tasks are queued that a coordinator should use another minion. */
  public boolean isQueueFull() {
    return queue.size() >= Math.max(MIN_QUEUE_LIMIT, slots / SLOTS_PER_QUEUED_TASK);
  }

  /** Removes and returns the next task, or returns null if no slot is free or no task is queued. */
  public @Nullable GuardedTask pollNext() {
    return running < slots ? queue.pollFirst() : null;
  }

  /** Counts a slot as in use. */
  public void occupy() {
    running++;
  }

  /** Counts a slot as free again. */
  public void release() {
    running--;
  }

  /** Returns the number of tasks that are queued or running. */
  public int active() {
    return queue.size() + running;
  }
}
