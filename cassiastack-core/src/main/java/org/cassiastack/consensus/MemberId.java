package org.cassiastack.consensus;

import java.util.Comparator;
import java.util.UUID;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

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

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof MemberId o && node.equals(o.node) && dataFolder.equals(o.dataFolder);
  }

  @Override
  public int hashCode() {
    return node.hashCode() * 31 + dataFolder.hashCode();
  }
}
