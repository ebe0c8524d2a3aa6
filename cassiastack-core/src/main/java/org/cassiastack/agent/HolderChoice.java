package org.cassiastack.agent;

import java.time.Instant;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.request.LeaderNotice;
import org.jspecify.annotations.Nullable;

/** Determines whom an agent obeys besides the rule that it never obeys a lower fence. */
interface HolderChoice {
  /** Returns the choice of an agent with the given settings. */
  static HolderChoice of(AgentSettings settings) {
    return settings.usesFallback() ? new LeaderOrFallback() : new LeaderOnly();
  }

  /** Handles the fallback dispatchers that a leader has named. */
  void onDirectory(FallbackDirectory directory);

  /** Handles a notice, after which the leader may be the holder again. */
  void onNotice(NodeId from, LeaderNotice notice, Instant now, List<Effect> effects);

  /** Handles the connection to a process; returns whether a report to it is due. */
  boolean onConnected(NodeId peer);

  /**
   * Returns whether a lease of a sender with this fence may be obeyed.
   *
   * @param reportSentAt when the report was sent that the lease answers
   */
  boolean mayTakeLease(NodeId from, long fence, Instant reportSentAt);

  /** Returns whether orders of a sender with this fence may be obeyed. */
  boolean mayObeyOrders(NodeId from, long fence);

  /**
   * Handles a lease that is obeyed.
   *
   * @return whether the runs of the former holder must be revoked
   */
  boolean onLease(NodeId from, long fence, Instant now, List<Effect> effects);

  /**
   * Advances time.
   *
   * @param domain failure domain of the minion, or null while no fallback dispatcher may be used
   * @return whether a report is due
   */
  boolean onTick(@Nullable FailureDomain domain, Instant now, List<Effect> effects);

  /** Returns the fallback dispatcher to report to, or null. */
  @Nullable NodeId fallback();

  /** Returns when {@link #onTick} is needed next. */
  Instant nextTickAt();

  /** The choice of an agent that obeys leaders only. */
  final class LeaderOnly implements HolderChoice {
    private LeaderOnly() {}

    @Override
    public void onDirectory(FallbackDirectory directory) {}

    @Override
    public void onNotice(NodeId from, LeaderNotice notice, Instant now, List<Effect> effects) {}

    @Override
    public boolean onConnected(NodeId peer) {
      return false;
    }

    @Override
    public boolean mayTakeLease(NodeId from, long fence, Instant reportSentAt) {
      return true;
    }

    @Override
    public boolean mayObeyOrders(NodeId from, long fence) {
      return true;
    }

    @Override
    public boolean onLease(NodeId from, long fence, Instant now, List<Effect> effects) {
      return false;
    }

    @Override
    public boolean onTick(@Nullable FailureDomain domain, Instant now, List<Effect> effects) {
      return false;
    }

    @Override
    public @Nullable NodeId fallback() {
      return null;
    }

    @Override
    public Instant nextTickAt() {
      return Instant.MAX;
    }
  }
}
