package org.cassiastack.request;

import java.util.List;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Message;
import org.jspecify.annotations.Nullable;

/**
 * A control member announces the leader and the control members.
 *
 * @param term term of the leader
 * @param leader the leader, or null while none is known
 * @param members nodes of the control members
 * @since 0.2
 */
public record LeaderNotice(long term, @Nullable NodeId leader, List<NodeId> members)
    implements Message {
  /** Creates a notice; the list is copied. */
  public LeaderNotice {
    members = List.copyOf(members);
  }
}
