package org.cassiastack.desk;

import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * What this process knows of the leader or of the control members has changed.
 *
 * @param leader the leader, or null while none is known
 * @param members nodes of the control members
 * @since 0.2
 */
public record LeaderSeen(@Nullable NodeId leader, List<NodeId> members) implements Effect {
  /** Makes a view; the list is copied. */
  public LeaderSeen {
    members = List.copyOf(members);
  }
}
