package org.cassiastack.fallback;

import java.util.List;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.protocol.Message;
import org.cassiastack.queue.QueueConfiguration;

/**
 * Message from the leader to a fallback dispatcher: the state that it dispatches by while no leader
 * can be reached.
 *
 * @param term term of the leader
 * @param generation number of the leader's generation, which determines the numbers of runs
 * @param configuration the configuration in force, with an empty document
 * @param domainsOut failure domains that are out of service
 * @since 0.4
 */
public record FallbackState(
    long term, long generation, QueueConfiguration configuration, List<FailureDomain> domainsOut)
    implements Message {
  /** Creates a state; the list is copied. */
  public FallbackState {
    domainsOut = List.copyOf(domainsOut);
  }
}
