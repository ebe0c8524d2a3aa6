package org.cassiastack.fallback;

import java.util.List;
import org.cassiastack.protocol.Message;

/**
 * Message from the leader to every connected process: the fallback dispatchers to use while no
 * leader can be reached.
 *
 * @param term term of the leader
 * @param configurationVersion version of the configuration in force; 0 before the first
 * @param nodes the fallback dispatchers; the nodes of one failure domain are in the order in which
 *     they are to be used
 * @since 0.4
 */
public record FallbackDirectory(long term, long configurationVersion, List<FallbackNode> nodes)
    implements Message {
  /** Creates a directory; the list is copied. */
  public FallbackDirectory {
    nodes = List.copyOf(nodes);
  }
}
