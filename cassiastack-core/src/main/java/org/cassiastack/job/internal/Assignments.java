package org.cassiastack.job.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cassiastack.model.Customer;
import org.cassiastack.model.JobId;
import org.cassiastack.model.TaskId;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.TaskNotStarted;
import org.cassiastack.routing.MinionLoad;
import org.jspecify.annotations.Nullable;

/** Dispatched tasks that have neither ended nor been proven not to have started. */
public final class Assignments {
  private static final Duration FIRST_RESEND_DELAY = Duration.ofSeconds(2);
  private static final int MAX_DOUBLINGS = 4;

  private final Map<TaskId, Assignment> byTask = new LinkedHashMap<>();
  private final Map<Customer, Integer> inFlight = new HashMap<>();

  /** Adds an assignment and counts the task as in flight at the minion and for the customer. */
  public void add(Assignment a) {
    byTask.put(a.dispatch().task(), a);
    inFlight.merge(a.job().customer(), 1, Integer::sum);
    a.load().taskDispatched();
  }

  /**
   * Removes the assignment of a task and reverses the counts of {@link #add}.
   *
   * @return the removed assignment, or null if the task has none
   */
  public @Nullable Assignment remove(TaskId task) {
    Assignment a = byTask.remove(task);
    if (a != null) {
      a.load().slotReleased();
      inFlight.computeIfPresent(a.job().customer(), (c, n) -> n == 1 ? null : n - 1);
    }
    return a;
  }

  /** Returns the number of tasks of a customer that are assigned to agents. */
  public int inFlight(Customer customer) {
    return inFlight.getOrDefault(customer, 0);
  }

  /** Returns the assignments that meet a condition, in order of their first dispatch. */
  public List<Assignment> matching(Predicate<Assignment> condition) {
    List<Assignment> found = new ArrayList<>();
    for (Assignment a : byTask.values()) {
      if (condition.test(a)) {
        found.add(a);
      }
    }
    return found;
  }

  /**
   * Returns whether a proof that a task did not start covers the current attempt at the task. The
   * same proof may arrive twice, the second time after the task was dispatched to another agent.
   */
  public boolean coversCurrentAttempt(TaskNotStarted m) {
    Assignment a = byTask.get(m.task());
    return a != null
        && a.dispatch().epoch().equals(m.epoch())
        && a.dispatch().attempt() <= m.attempt();
  }

  /** Records that an unanswered dispatch, or its withdrawal, was sent again. */
  public void recordResend(Assignment a, Dispatch latest, Instant now) {
    byTask.put(a.dispatch().task(), a.withResend(latest, now));
  }

  /**
   * Assignment of one task to one agent.
   *
   * @param job the job of the task
   * @param load load of the minion that the task was dispatched to
   * @param dispatch the latest message that dispatched the task
   * @param firstSentAt when the task was first sent to this agent
   * @param lastSentAt time of the first dispatch or of the last resend
   * @param resends number of resends of the dispatch or, once the job has been answered, of its
   *     withdrawal
   */
  public record Assignment(
      JobId job,
      MinionLoad load,
      Dispatch dispatch,
      Instant firstSentAt,
      Instant lastSentAt,
      int resends) {
    /** Creates the assignment of a task that is sent for the first time. */
    public static Assignment first(JobId job, MinionLoad load, Dispatch dispatch, Instant now) {
      return new Assignment(job, load, dispatch, now, now, 0);
    }

    /** Returns whether the agent has not answered for so long that a resend is due. */
    public boolean isResendDue(Instant now) {
      Duration delay = FIRST_RESEND_DELAY.multipliedBy(1L << Math.min(resends, MAX_DOUBLINGS));
      return !now.isBefore(lastSentAt.plus(delay));
    }

    Assignment withResend(Dispatch latest, Instant now) {
      return new Assignment(job, load, latest, firstSentAt, now, resends + 1);
    }
  }
}
