package org.cassiastack.runs;

import java.util.List;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.Resources;

/**
 * What a minion says of itself.
 *
 * @param life the life that speaks
 * @param service the service that it offers
 * @param domain its failure domain
 * @param capacity what its tasks may take up together
 * @param labels its kind and its rack, among others
 * @param draining whether it is about to leave and takes no new task
 * @since 0.2
 */
public record MinionProfile(
    MinionIncarnation life,
    ServiceName service,
    FailureDomain domain,
    Resources capacity,
    List<String> labels,
    boolean draining) {
  /** Makes a profile; the list is copied. */
  public MinionProfile {
    labels = List.copyOf(labels);
  }
}
