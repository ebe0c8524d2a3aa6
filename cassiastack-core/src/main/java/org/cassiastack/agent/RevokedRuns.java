package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiastack.controller.Effect;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.RunId;

/**
 * Runs of a former holder that the agent stops because another holder has taken its place. The
 * former holder counts on their end by its lease, so no later deadline may reach the minion while
 * one of them may exist: the minion has one deadline for all of its runs.
 */
final class RevokedRuns {
  /** Delay after which a stop that was refused or not answered is called again. */
  static final Duration RETRY_DELAY = Duration.ofMillis(50);

  /**
   * Revoked runs that may exist, each with the time of its next stop call; {@link Instant#MAX}
   * while a call is in flight.
   */
  private final Map<RunId, Instant> nextCalls = new LinkedHashMap<>();

  private final Set<RunId> refused = new HashSet<>();
  private Instant formerLeaseUntil = Instant.MIN;

  /**
   * Adds all runs that may exist; returns how many there are now.
   *
   * @param lists the minion's run lists
   * @param pending runs whose start may happen, or may have happened, without being listed
   * @param leaseUntil end of the former holder's lease
   */
  int add(RunLists lists, Collection<RunId> pending, Instant leaseUntil) {
    // While runs of an earlier holder may exist, its lease is the one that must not be exceeded.
    formerLeaseUntil = capped(leaseUntil);
    lists.running().forEach(r -> nextCalls.putIfAbsent(r.run(), Instant.MIN));
    pending.forEach(r -> nextCalls.putIfAbsent(r, Instant.MIN));
    return nextCalls.size();
  }

  boolean contains(RunId run) {
    return nextCalls.containsKey(run);
  }

  /** Returns the time to which the minion's deadline may be extended under the present lease. */
  Instant capped(Instant leaseUntil) {
    return !nextCalls.isEmpty() && formerLeaseUntil.isBefore(leaseUntil)
        ? formerLeaseUntil
        : leaseUntil;
  }

  void onStopAnswered(StopAnswered a) {
    if (!a.accepted() && nextCalls.containsKey(a.run())) {
      refused.add(a.run());
    }
  }

  /**
   * Handles new run lists: a run that is neither running nor pending does not exist.
   *
   * @param pending runs whose start may still happen without being listed
   */
  void onLists(RunLists lists, Collection<RunId> pending) {
    Set<RunId> possible = new HashSet<>(pending);
    lists.running().forEach(r -> possible.add(r.run()));
    nextCalls.keySet().retainAll(possible);
    refused.retainAll(possible);
  }

  /**
   * Adds the stop calls that are due.
   *
   * @param pending starts that are not listed yet, whose stop is called by {@link PendingStarts}
   */
  void sendDueCalls(
      MinionIncarnation minionIncarnation,
      Collection<RunId> pending,
      CallFence fence,
      Instant now,
      List<Effect> effects) {
    for (Map.Entry<RunId, Instant> call : nextCalls.entrySet()) {
      if (refused.remove(call.getKey())) {
        call.setValue(now.plus(RETRY_DELAY));
      } else if (!now.isBefore(call.getValue()) && !pending.contains(call.getKey())) {
        call.setValue(Instant.MAX);
        effects.add(new CallStop(minionIncarnation, call.getKey(), fence.forCall()));
      }
    }
  }

  /** Returns when the next stop call is due. */
  Instant nextCallAt() {
    Instant at = Instant.MAX;
    for (Instant next : nextCalls.values()) {
      at = next.isBefore(at) ? next : at;
    }
    return at;
  }

  void clear() {
    nextCalls.clear();
    refused.clear();
  }
}
