package org.cassiastack.consensus;

import java.util.List;
import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;

/**
 * The members of the replicated log, as known to this member, have changed.
 *
 * @param nodes nodes of all members, voters and learners
 * @since 0.2
 */
public record MembersChanged(List<NodeId> nodes) implements Event {
  /** Creates an event; the list is copied. */
  public MembersChanged {
    nodes = List.copyOf(nodes);
  }
}
