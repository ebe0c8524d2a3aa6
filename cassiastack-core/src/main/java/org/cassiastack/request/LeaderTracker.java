package org.cassiastack.request;

import java.util.List;
import java.util.Objects;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * Finds out who leads from the notices of control members: the highest term is right. A leader that
 * could not be reached is believed again when it speaks for itself, or leads in a later term.
 *
 * @since 0.2
 */
public final class LeaderTracker {
  private @Nullable NodeId leader;
  private long term;

  /** The leader of the present term that could not be reached, or null. */
  private @Nullable NodeId unreachable;

  private List<NodeId> members = List.of();

  private LeaderTracker() {}

  /** Makes a tracker that knows nobody. */
  public static LeaderTracker create() {
    return new LeaderTracker();
  }

  /**
   * Takes a notice.
   *
   * @param from who sent it
   * @return whether the leader or the members have changed
   */
  public boolean onNotice(NodeId from, LeaderNotice n) {
    NodeId former = leader;
    if (n.leader() != null && n.term() >= term && !isHearsay(from, n)) {
      leader = n.leader();
      term = n.term();
      unreachable = null;
    } else if (n.leader() == null && from.equals(leader)) {
      leader = null;
    }
    boolean changed = !Objects.equals(former, leader);
    if (n.term() >= term && !n.members().isEmpty() && !n.members().equals(members)) {
      members = n.members();
      changed = true;
    }
    return changed;
  }

  /** Takes note that a process can no longer be reached; tells whether it led. */
  public boolean onDisconnect(NodeId peer) {
    if (peer.equals(leader)) {
      leader = null;
      unreachable = peer;
      return true;
    }
    return false;
  }

  /** Another member may not have noticed yet that a leader cannot be reached. */
  private boolean isHearsay(NodeId from, LeaderNotice n) {
    return n.term() == term
        && n.leader() != null
        && n.leader().equals(unreachable)
        && !from.equals(unreachable);
  }

  /** Returns the leader, or null while none is known. */
  public @Nullable NodeId leader() {
    return leader;
  }

  /** Returns the term of the leader that was known last. */
  public long term() {
    return term;
  }

  /** Returns the nodes of the control members as far as they are known. */
  public List<NodeId> members() {
    return members;
  }
}
