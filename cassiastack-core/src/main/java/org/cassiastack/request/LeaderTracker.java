package org.cassiastack.request;

import java.util.List;
import java.util.Objects;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the leader from the notices of control members; the notice with the highest term wins. A
 * leader to which the connection was lost is accepted again when the leader itself sends a notice,
 * or when a notice names it as the leader of a later term.
 *
 * @since 0.2
 */
public final class LeaderTracker {
  private @Nullable NodeId leader;
  private long term;

  /** Leader of {@link #term} to which the connection was lost, or null. */
  private @Nullable NodeId unreachable;

  private List<NodeId> members = List.of();

  private LeaderTracker() {}

  /** Creates a tracker that knows no leader and no members. */
  public static LeaderTracker create() {
    return new LeaderTracker();
  }

  /**
   * Handles a notice.
   *
   * @param from the process that sent the notice
   * @param notice the leader and the control members that this process announces
   * @return whether the leader or the members have changed
   */
  public boolean onNotice(NodeId from, LeaderNotice notice) {
    NodeId previous = leader;
    if (notice.leader() != null && notice.term() >= term && !mayBeOutdated(from, notice)) {
      leader = notice.leader();
      term = notice.term();
      unreachable = null;
    } else if (notice.leader() == null && from.equals(leader)) {
      leader = null;
    }
    boolean changed = !Objects.equals(previous, leader);
    if (notice.term() >= term && !notice.members().isEmpty() && !notice.members().equals(members)) {
      members = notice.members();
      changed = true;
    }
    return changed;
  }

  /**
   * Handles the loss of the connection to a process; returns whether the process was the leader.
   */
  public boolean onDisconnect(NodeId peer) {
    if (peer.equals(leader)) {
      leader = null;
      unreachable = peer;
      return true;
    }
    return false;
  }

  /**
   * Returns whether a notice names a leader to which the connection was lost, but comes from
   * another member, which may not have noticed yet that the leader cannot be reached.
   */
  private boolean mayBeOutdated(NodeId from, LeaderNotice notice) {
    return notice.term() == term
        && notice.leader() != null
        && notice.leader().equals(unreachable)
        && !from.equals(unreachable);
  }

  /** Returns the leader, or null while none is known. */
  public @Nullable NodeId leader() {
    return leader;
  }

  /** Returns the term of the leader that was known last, or 0 if none has been known. */
  public long term() {
    return term;
  }

  /**
   * Returns the nodes of the control members, or an empty list before the first notice that names
   * members.
   */
  public List<NodeId> members() {
    return members;
  }
}
