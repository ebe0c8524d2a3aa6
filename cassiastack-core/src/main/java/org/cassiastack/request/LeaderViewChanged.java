package org.cassiastack.request;

import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * Effect: the leader or the control members that this process knows have changed.
 *
 * @param leader the leader, or null while none is known
 * @param members nodes of the control members
 * @param cause what caused the change
 * @since 0.2
 */
public record LeaderViewChanged(@Nullable NodeId leader, List<NodeId> members, Cause cause)
    implements Effect {
  /** Cause of a change. */
  public enum Cause {
    /** A control member has sent a {@link LeaderNotice}. */
    NOTICE,
    /** The last connection to the leader was lost. */
    CONNECTION_LOST
  }

  /** Creates the effect; the list is copied. */
  public LeaderViewChanged {
    members = List.copyOf(members);
  }
}
