package org.cassiastack.request;

import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;

/**
 * Effect: maintains connections to fallback dispatchers until {@link HangUpFallback}. Those that
 * are dialed already, and this process, are skipped.
 *
 * @param nodes the fallback dispatchers to connect to
 * @since 0.4
 */
public record DialFallback(List<NodeId> nodes) implements Effect {
  /** Creates the effect; the list is copied. */
  public DialFallback {
    nodes = List.copyOf(nodes);
  }
}
