package org.cassiastack.agent;

import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiastack.controller.Effect;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.StartOrder;

/** The starts that may have been carried out, or still may, although no list shows their runs. */
final class PendingStarts {
  private final Map<RunId, PendingStart> starts = new LinkedHashMap<>();

  boolean isEmpty() {
    return starts.isEmpty();
  }

  List<RunId> runs() {
    return List.copyOf(starts.keySet());
  }

  /** Takes a start over and returns the first call for it. */
  CallStart add(MinionIncarnation life, StartOrder order, long fence, long deadline) {
    PendingStart s = new PendingStart(order, deadline);
    starts.put(order.run(), s);
    return s.call(life, fence);
  }

  /** Takes the outcome of a start before a hold; tells whether the leader should hear of it. */
  boolean onStartAnswered(StartAnswered a, long nextHold) {
    PendingStart s = starts.get(a.run());
    if (s == null) {
      return false;
    }
    s.callInFlight = false;
    s.firstConclusiveHold = nextHold;
    if (s.revoked || a.outcome() == StartAnswered.Outcome.UNANSWERED) {
      s.outcomeUnknown = true;
    } else if (a.outcome() == StartAnswered.Outcome.REFUSED && !s.outcomeUnknown) {
      starts.remove(a.run());
      return true;
    }
    return false;
  }

  /** Takes the outcome of a stop before a hold, which settles a start that was revoked. */
  void onStopAnswered(StopAnswered a, long nextHold) {
    PendingStart s = starts.get(a.run());
    if (s != null && s.revoked) {
      s.callInFlight = false;
      s.outcomeUnknown = !a.accepted();
      s.revoked = !a.accepted();
      s.firstConclusiveHold = nextHold;
    }
  }

  /** Takes the minion's lists; tells whether they prove that a start was not carried out. */
  boolean onLists(Set<RunId> listed, long hold, long clockMillis) {
    boolean disproved = false;
    for (Iterator<PendingStart> i = starts.values().iterator(); i.hasNext(); ) {
      PendingStart s = i.next();
      if (listed.contains(s.order.run())) {
        if (!s.callInFlight) {
          i.remove();
        }
      } else if (s.isProvenAbsentBy(hold, clockMillis)) {
        i.remove();
        disproved = true;
      }
    }
    return disproved;
  }

  /** Makes the calls that are due: doubtful starts again, and stops for revoked ones. */
  void sendDueCalls(
      MinionIncarnation life, long fence, Instant leaseUntil, Instant now, List<Effect> effects) {
    for (PendingStart s : starts.values()) {
      if (!s.callInFlight && s.revoked) {
        s.callInFlight = true;
        effects.add(new CallStop(life, s.order.run(), fence));
      } else if (!s.callInFlight && s.canRetry() && now.isBefore(leaseUntil)) {
        effects.add(s.call(life, fence));
      }
    }
  }

  /** All deadlines have passed; only calls under way may still come to something. */
  void onDeadlinesPassed() {
    starts.values().removeIf(s -> !s.callInFlight);
  }

  /** The minion has begun a new life in which none of the starts may be carried out. */
  void revokeAll() {
    starts.values().forEach(s -> s.revoked = true);
  }

  void clear() {
    starts.clear();
  }
}
