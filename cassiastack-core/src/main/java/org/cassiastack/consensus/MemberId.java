package org.cassiastack.consensus;

import java.util.Comparator;
import java.util.UUID;
import org.cassiastack.model.NodeId;

/**
 * Identity of a member of the replicated log: a node together with its data folder. A node that
 * restarts with an empty disk has a new data folder and is therefore a new member.
 *
 * @param node the node
 * @param dataFolder identity of the data folder
 * @since 0.1
 */
public record MemberId(NodeId node, UUID dataFolder) {
  /** Orders members by node name, then by data folder. */
  public static final Comparator<MemberId> ORDER =
      Comparator.comparing(MemberId::node, NodeId.BY_NAME).thenComparing(MemberId::dataFolder);

  @Override
  public String toString() {
    return node + "/" + dataFolder;
  }
}
