package org.cassiastack.request;

import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * What this process knows of the leader or of the control members has changed.
 *
 * @param leader the leader, or null while none is known
 * @param members nodes of the control members
 * @param cause what changed it
 * @since 0.2
 */
public record LeaderViewChanged(@Nullable NodeId leader, List<NodeId> members, Cause cause)
    implements Effect {
  /** What a process learns of the leader by. */
  public enum Cause {
    /** A control member has told who leads. */
    NOTICE,
    /** The last connection to the leader is gone. */
    CONNECTION_LOST
  }

  /** Makes a view; the list is copied. */
  public LeaderViewChanged {
    members = List.copyOf(members);
  }
}
