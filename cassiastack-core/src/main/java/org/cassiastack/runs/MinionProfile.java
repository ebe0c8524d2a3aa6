package org.cassiastack.runs;

import java.util.List;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.Resources;
import org.jspecify.annotations.Nullable;

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

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof MinionProfile o
        && draining == o.draining
        && life.equals(o.life)
        && service.equals(o.service)
        && domain.equals(o.domain)
        && capacity.equals(o.capacity)
        && labels.equals(o.labels);
  }

  @Override
  public int hashCode() {
    return life.hashCode();
  }
}
