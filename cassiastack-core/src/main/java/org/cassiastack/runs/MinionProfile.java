package org.cassiastack.runs;

import java.util.List;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.Resources;

/**
 * The properties that a minion announces.
 *
 * @param life the incarnation of the minion that made the announcement
 * @param service the service whose tasks the minion runs
 * @param domain the minion's failure domain
 * @param capacity resources that all runs of the minion may use together
 * @param labels the minion's labels, among them its kind and its rack
 * @param draining whether the minion is about to leave and accepts no new tasks
 * @since 0.2
 */
public record MinionProfile(
    MinionIncarnation life,
    ServiceName service,
    FailureDomain domain,
    Resources capacity,
    List<String> labels,
    boolean draining) {
  /** Creates a profile; the list is copied. */
  public MinionProfile {
    labels = List.copyOf(labels);
  }
}
