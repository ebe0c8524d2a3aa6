package org.cassiastack.request;

import java.time.Instant;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/** Determines which requests go to a fallback dispatcher in the place of the leader. */
interface FallbackRoute {
  /**
   * Observes an event, after the tracker has handled it.
   *
   * @return whether the leader is heard again after it was silent
   */
  boolean on(Event event, LeaderTracker tracker, Instant now, List<Effect> effects);

  /** Returns whether a request may be sent to the leader that is known. */
  boolean mayUseLeader(PendingRequest pending);

  /** Returns the fallback dispatcher to send a request to that was sent to nobody, or null. */
  @Nullable NodeId dispatcherFor(PendingRequest pending, Instant now);

  /** Returns whether a request that was sent to nobody may still find a fallback dispatcher. */
  boolean mayFindDispatcher(PendingRequest pending, Instant now);

  /**
   * Returns a request as it is sent to a fallback dispatcher.
   *
   * @param probeSentAt when the last probe of the dispatcher was sent, or null
   */
  LeaderRequest toFallback(LeaderRequest request, @Nullable Instant probeSentAt);

  /**
   * Returns a request as it is sent to a leader after it was sent to another dispatcher.
   *
   * @param probeSentAt when the last probe of the leader was sent, or null
   */
  LeaderRequest resubmission(LeaderRequest request, @Nullable Instant probeSentAt);

  /** Returns whether no answer can come any more to a request that was sent. */
  boolean isAnswerLost(PendingRequest pending, Instant now);

  /** Returns when an event is needed next. */
  Instant nextTickAt();

  /** The route of a process that sends requests to leaders only. */
  final class LeaderOnly implements FallbackRoute {
    @Override
    public boolean on(Event event, LeaderTracker tracker, Instant now, List<Effect> effects) {
      return false;
    }

    @Override
    public boolean mayUseLeader(PendingRequest pending) {
      return true;
    }

    @Override
    public @Nullable NodeId dispatcherFor(PendingRequest pending, Instant now) {
      return null;
    }

    @Override
    public boolean mayFindDispatcher(PendingRequest pending, Instant now) {
      return false;
    }

    @Override
    public LeaderRequest toFallback(LeaderRequest request, @Nullable Instant probeSentAt) {
      return request;
    }

    @Override
    public LeaderRequest resubmission(LeaderRequest request, @Nullable Instant probeSentAt) {
      return request;
    }

    @Override
    public boolean isAnswerLost(PendingRequest pending, Instant now) {
      return false;
    }

    @Override
    public Instant nextTickAt() {
      return Instant.MAX;
    }
  }
}
