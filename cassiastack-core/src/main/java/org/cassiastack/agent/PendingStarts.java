package org.cassiastack.agent;

import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiastack.controller.Effect;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.StartOrder;

/**
 * The starts that the minion may have carried out, or may still carry out, although its run lists
 * do not show their runs.
 */
final class PendingStarts {
  private final Map<RunId, PendingStart> starts = new LinkedHashMap<>();

  /**
   * Runs that the minion has listed although a call to start them was not answered. After a restart
   * the minion may carry that call out, until it has seen a higher fence.
   */
  private final Set<RunId> unansweredCalls = new LinkedHashSet<>();

  /** Those of {@link #unansweredCalls} that were made to a former incarnation of the minion. */
  private final Set<RunId> formerCalls = new LinkedHashSet<>();

  boolean isEmpty() {
    return starts.isEmpty() && formerCalls.isEmpty();
  }

  List<RunId> runs() {
    Set<RunId> runs = new LinkedHashSet<>(starts.keySet());
    runs.addAll(formerCalls);
    return List.copyOf(runs);
  }

  /** Returns whether a higher fence would prevent unanswered calls and no others. */
  boolean needsHigherFence() {
    return !unansweredCalls.isEmpty() && starts.values().stream().noneMatch(s -> s.callInFlight);
  }

  /** Records that the minion has seen a higher fence than that of the unanswered calls. */
  void onFenceSeen() {
    unansweredCalls.clear();
    formerCalls.clear();
  }

  /** Adds a start and returns the first start call for it. */
  CallStart add(
      MinionIncarnation minionIncarnation, StartOrder order, long fence, long deadlineMillis) {
    PendingStart s = new PendingStart(order, deadlineMillis);
    starts.put(order.run(), s);
    return s.nextCall(minionIncarnation, fence);
  }

  /**
   * Handles the outcome of a start call; returns whether the agent should report to the leader.
   *
   * @param nextHold number of the next hold call
   */
  boolean onStartAnswered(StartAnswered a, long nextHold) {
    PendingStart s = starts.get(a.run());
    if (s == null) {
      return false;
    }
    s.callInFlight = false;
    s.firstConclusiveHold = nextHold;
    if (s.revoked || a.outcome() == StartAnswered.Outcome.UNANSWERED) {
      s.outcomeUnknown = true;
    } else if (a.outcome() != StartAnswered.Outcome.STARTED && !s.outcomeUnknown) {
      starts.remove(a.run());
      return true;
    }
    return false;
  }

  /**
   * Handles the outcome of a stop call. A stop that was accepted resolves a start that was revoked.
   *
   * @param nextHold number of the next hold call
   */
  void onStopAnswered(StopAnswered a, long nextHold, Instant now) {
    PendingStart s = starts.get(a.run());
    if (s != null && s.revoked) {
      s.callInFlight = false;
      s.outcomeUnknown = !a.accepted();
      s.revoked = !a.accepted();
      s.nextStopAt = now.plus(RevokedRuns.RETRY_DELAY);
      s.firstConclusiveHold = nextHold;
    }
  }

  /**
   * Handles the minion's run lists; returns whether they prove that a run is absent.
   *
   * @param lists the lists; they prove nothing absent while they lack ends
   * @param hold number of the hold call that returned the lists
   * @param clockMillis reading of the minion's clock in the answer to that call
   */
  boolean onLists(RunLists lists, long hold, long clockMillis) {
    Set<RunId> listed = lists.runIds();
    boolean provenAbsent = false;
    for (Iterator<PendingStart> i = starts.values().iterator(); i.hasNext(); ) {
      PendingStart s = i.next();
      if (listed.contains(s.order.run())) {
        if (!s.callInFlight) {
          i.remove();
          if (s.outcomeUnknown) {
            unansweredCalls.add(s.order.run());
          }
        }
      } else if (lists.allEndsListed() && s.isProvenAbsentBy(hold, clockMillis)) {
        i.remove();
        provenAbsent = true;
      }
    }
    return provenAbsent;
  }

  /**
   * Adds the calls that are due: repeated start calls where the outcome is unknown, and stop calls
   * for revoked starts.
   *
   * @param mayStart whether start calls are known to reach the incarnation that they are meant for,
   *     and the lease covers a deadline that the runs may inherit there
   */
  void sendDueCalls(
      MinionIncarnation minionIncarnation,
      CallFence fence,
      boolean mayStart,
      Instant leaseUntil,
      Instant now,
      List<Effect> effects) {
    for (PendingStart s : starts.values()) {
      if (s.isStopDue(now)) {
        s.callInFlight = true;
        effects.add(new CallStop(minionIncarnation, s.order.run(), fence.forCall()));
      } else if (s.canRetry() && mayStart && now.isBefore(leaseUntil)) {
        effects.add(s.nextCall(minionIncarnation, fence.forCall()));
      }
    }
  }

  /** Returns when the next stop call for a revoked start is due. */
  Instant nextStopAt() {
    Instant at = Instant.MAX;
    for (PendingStart s : starts.values()) {
      at = s.revoked && !s.callInFlight && s.nextStopAt.isBefore(at) ? s.nextStopAt : at;
    }
    return at;
  }

  /**
   * Removes the starts once the deadlines of all of them have passed. A start with a call in flight
   * may still be carried out, so it stays. So does a revoked start whose stop is called again after
   * a pause: the deadline may be one on the clock of a former incarnation.
   *
   * @param mayCallsArrive whether calls from before may be carried out by another incarnation
   */
  void onDeadlinesPassed(boolean mayCallsArrive) {
    if (mayCallsArrive) {
      starts.values().removeIf(s -> !s.callInFlight && !s.revoked);
    } else {
      clear();
    }
  }

  /** Revokes all starts, because another holder takes the minion over or the minion restarts. */
  void revokeAll() {
    starts.values().forEach(s -> s.revoked = true);
  }

  /** Handles a restart of the minion, which must not carry out any of the former starts. */
  void onMinionRestarted() {
    revokeAll();
    formerCalls.addAll(unansweredCalls);
    unansweredCalls.clear();
  }

  void clear() {
    starts.clear();
    unansweredCalls.clear();
    formerCalls.clear();
  }
}
