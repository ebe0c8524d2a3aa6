package org.cassiastack.consensus;

import java.util.List;
import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;

/**
 * The members of the replicated log have changed, as far as this member knows.
 *
 * @param nodes nodes of all members, voting or not
 * @since 0.2
 */
public record MembersChanged(List<NodeId> nodes) implements Event {
  /** Makes an event; the list is copied. */
  public MembersChanged {
    nodes = List.copyOf(nodes);
  }
}
