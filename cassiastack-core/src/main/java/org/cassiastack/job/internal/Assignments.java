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

/** Tasks that were handed to agents and have neither ended nor been proved not started. */
public final class Assignments {
  private static final Duration FIRST_RESEND = Duration.ofSeconds(2);
  private static final int MOST_DOUBLINGS = 4;

  private final Map<TaskId, Assignment> byTask = new LinkedHashMap<>();
  private final Map<Customer, Integer> inFlight = new HashMap<>();

  /** Adds an assignment and counts it at its minion. */
  public void add(Assignment a) {
    byTask.put(a.dispatch().task(), a);
    inFlight.merge(a.job().customer(), 1, Integer::sum);
    a.load().taskDispatched();
  }

  /** Removes the assignment of a task and uncounts it, or returns null. */
  public @Nullable Assignment remove(TaskId task) {
    Assignment a = byTask.remove(task);
    if (a != null) {
      a.load().slotReleased();
      inFlight.computeIfPresent(a.job().customer(), (c, n) -> n == 1 ? null : n - 1);
    }
    return a;
  }

  /** Returns the number of tasks of a customer that are with agents. */
  public int inFlight(Customer customer) {
    return inFlight.getOrDefault(customer, 0);
  }

  /** Returns the assignments that meet a condition. */
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
   * Tells whether a proof covers the present attempt at its task. A proof may come twice, after its
   * task has gone elsewhere.
   */
  public boolean coversCurrentAttempt(TaskNotStarted m) {
    Assignment a = byTask.get(m.task());
    return a != null
        && a.dispatch().epoch().equals(m.epoch())
        && a.dispatch().attempt() <= m.attempt();
  }

  /** Replaces an assignment by one sent at a later time. */
  public void recordResend(Assignment a, Dispatch again, Instant now) {
    byTask.put(a.dispatch().task(), a.withResend(again, now));
  }

  /**
   * One task at one agent.
   *
   * @param job the job of the task
   * @param load load of the minion that it was given to
   * @param dispatch the message that handed it over
   * @param firstSentAt when it was sent first
   * @param lastSentAt when it was last sent
   * @param resends how often it was sent again
   */
  public record Assignment(
      JobId job,
      MinionLoad load,
      Dispatch dispatch,
      Instant firstSentAt,
      Instant lastSentAt,
      int resends) {
    /** Makes an assignment that is sent for the first time. */
    public static Assignment first(JobId job, MinionLoad load, Dispatch dispatch, Instant now) {
      return new Assignment(job, load, dispatch, now, now, 0);
    }

    /** Tells whether it went unanswered for so long that it has to be sent again. */
    public boolean isResendDue(Instant now) {
      Duration wait = FIRST_RESEND.multipliedBy(1L << Math.min(resends, MOST_DOUBLINGS));
      return !now.isBefore(lastSentAt.plus(wait));
    }

    Assignment withResend(Dispatch again, Instant now) {
      return new Assignment(job, load, again, firstSentAt, now, resends + 1);
    }
  }
}
