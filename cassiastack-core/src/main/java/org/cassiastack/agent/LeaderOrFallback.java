package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cassiastack.controller.Effect;
import org.cassiastack.decision.Decision;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.request.DialFallback;
import org.cassiastack.request.FallbackTargets;
import org.cassiastack.request.HangUpFallback;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.runs.Fences;
import org.jspecify.annotations.Nullable;

/**
 * The choice of an agent that turns to a fallback dispatcher when it gets no leases.
 *
 * <ol>
 *   <li>Without a lease of the leader for {@link FallbackTargets#ENGAGE_DELAY}, the agent asks the
 *       fallback dispatchers one after the other. One that does not answer within the same time, or
 *       stops to renew the lease, is followed by the next one.
 *   <li>Only the dispatcher that is being asked is obeyed. A dispatcher that hears a leader gives
 *       no lease, so an agent that alone is cut off from the leader keeps its runs.
 *   <li>A lease makes a dispatcher the holder only if it answers a report that was sent since the
 *       agent began to ask it, and its orders count only after such a lease. Leases and orders from
 *       before, which a connection may deliver late, have the same sender and fence. Those that
 *       follow such a lease in the connection were sent after it.
 *   <li>A notice of a leader ends the use of fallback dispatchers, except one that may be outdated:
 *       another process names a leader whose term is known already.
 * </ol>
 */
final class LeaderOrFallback implements HolderChoice {
  /** Interval of reports to a dispatcher that has not answered yet. */
  private static final Duration SEARCH_INTERVAL = Duration.ofMillis(100);

  private final FallbackTargets targets = FallbackTargets.create();

  /** All nodes that any directory has named. */
  private final Set<NodeId> dispatchers = new HashSet<>();

  /** When the leader was last known to be the holder; null before the first lease or notice. */
  private @Nullable Instant leaderAt;

  /** The dispatcher that is asked, or whose lease is held; null while the leader is the holder. */
  private @Nullable NodeId asked;

  /** When the dispatcher in {@link #asked} was first asked, or has last renewed the lease. */
  private Instant askedAt = Instant.MIN;

  /** Since when {@link #asked} is being asked, to the microsecond, as messages state times. */
  private Instant askedSince = Instant.MIN;

  /** Whether {@link #asked} has granted a lease. */
  private boolean granted;

  /** Fence of the last dispatcher that has granted a lease; 0 before the first. */
  private long grantedFence;

  /** Since when the leader is the holder again; null while no connection has to be closed. */
  private @Nullable Instant backSince;

  /** Highest term of a leader that a notice has named. */
  private long knownTerm;

  private Instant nextSearchAt = Instant.MIN;
  private int nextIndex;

  @Override
  public void onDirectory(FallbackDirectory directory) {
    targets.onDirectory(directory);
    directory.nodes().forEach(n -> dispatchers.add(n.node()));
  }

  @Override
  public void onNotice(NodeId from, LeaderNotice notice, Instant now, List<Effect> effects) {
    boolean isCurrent =
        notice.term() > knownTerm || (notice.term() == knownTerm && from.equals(notice.leader()));
    if (notice.leader() != null && isCurrent) {
      knownTerm = notice.term();
      leave("leader_heard", now, effects);
      leaderAt = now;
    }
  }

  @Override
  public boolean onConnected(NodeId peer) {
    return peer.equals(asked);
  }

  @Override
  public boolean mayTakeLease(NodeId from, long fence, Instant reportSentAt) {
    return !isDispatcher(from, fence) || (from.equals(asked) && !reportSentAt.isBefore(askedSince));
  }

  @Override
  public boolean mayObeyOrders(NodeId from, long fence) {
    return !isDispatcher(from, fence) || (granted && from.equals(asked));
  }

  /**
   * Returns whether a sender with this fence is a fallback dispatcher. The fence alone does not
   * tell: that of a leader without fallback dispatchers, of an earlier version, may be odd.
   */
  private boolean isDispatcher(NodeId from, long fence) {
    return Fences.isFallback(fence) && dispatchers.contains(from);
  }

  @Override
  public boolean onLease(NodeId from, long fence, Instant now, List<Effect> effects) {
    if (!isDispatcher(from, fence)) {
      leave("leader_lease", now, effects);
      leaderAt = now;
      return false;
    }
    // A dispatcher that was silent may have handed its jobs over to a leader in the meantime.
    boolean lapsed = !now.isBefore(askedAt.plus(FallbackTargets.ENGAGE_DELAY));
    boolean isFirst = !granted || fence > grantedFence || lapsed;
    granted = true;
    grantedFence = fence;
    askedAt = now;
    return isFirst;
  }

  @Override
  public boolean onTick(@Nullable FailureDomain domain, Instant now, List<Effect> effects) {
    Instant back = backSince;
    if (back != null && !now.isBefore(back.plus(FallbackTargets.HANG_UP_DELAY))) {
      backSince = null;
      effects.add(new HangUpFallback());
    }
    Instant since = asked == null ? leaderAt : askedAt;
    if (domain == null || since == null || targets.isEmpty()) {
      return false;
    }
    if (!now.isBefore(since.plus(FallbackTargets.ENGAGE_DELAY))) {
      askNext(domain, now, effects);
    }
    if (asked == null || granted || now.isBefore(nextSearchAt)) {
      return false;
    }
    nextSearchAt = now.plus(SEARCH_INTERVAL);
    return true;
  }

  private void askNext(FailureDomain domain, Instant now, List<Effect> effects) {
    // The dispatcher that is silent is followed by the next one, and not by the first.
    int index = nextIndex;
    leave("silent", now, effects);
    List<NodeId> nodes = targets.inOrderFor(domain);
    NodeId next = nodes.get(index % nodes.size());
    nextIndex = (index + 1) % nodes.size();
    asked = next;
    askedAt = now;
    askedSince = now.truncatedTo(ChronoUnit.MICROS);
    backSince = null;
    nextSearchAt = now;
    // The connection to the one after it is then up by the time that it is needed.
    effects.add(new DialFallback(List.of(next, nodes.get(nextIndex))));
  }

  private void leave(String reason, Instant now, List<Effect> effects) {
    NodeId holder = asked;
    if (holder != null && granted) {
      String inputs = "fence=" + grantedFence + " lease_age=" + Duration.between(askedAt, now);
      effects.add(Decision.of("fallback_left", holder, reason, inputs));
    }
    if (holder != null) {
      backSince = now;
    }
    asked = null;
    granted = false;
    nextIndex = 0;
  }

  @Override
  public @Nullable NodeId fallback() {
    return asked;
  }

  @Override
  public Instant nextTickAt() {
    Instant back = backSince;
    Instant hangUpAt = back == null ? Instant.MAX : back.plus(FallbackTargets.HANG_UP_DELAY);
    Instant since = asked == null ? leaderAt : askedAt;
    if (since == null || targets.isEmpty()) {
      return hangUpAt;
    }
    Instant askAt = since.plus(FallbackTargets.ENGAGE_DELAY);
    Instant searchAt = asked == null || granted ? Instant.MAX : nextSearchAt;
    Instant at = askAt.isBefore(searchAt) ? askAt : searchAt;
    return hangUpAt.isBefore(at) ? hangUpAt : at;
  }
}
