package org.cassiastack.queue;

import java.util.List;
import org.cassiastack.model.Payload;
import org.jspecify.annotations.Nullable;

/**
 * The queues that are in force, and the document that declared them.
 *
 * @param version its number; the highest one is in force
 * @param queues the queues
 * @param document the operator's document, given back as it came
 * @since 0.2
 */
public record QueueConfiguration(long version, List<Queue> queues, Payload document) {
  /** Makes a configuration; the list is copied. */
  public QueueConfiguration {
    queues = List.copyOf(queues);
  }

  /**
   * Finds the queue that a request is for: the longest path prefix of its host.
   *
   * @return the queue, or null when there is none
   */
  public @Nullable Queue find(String host, String path) {
    Queue best = null;
    for (Queue q : queues) {
      boolean fits = q.host().equals(host) && path.startsWith(q.pathPrefix());
      if (fits && (best == null || q.pathPrefix().length() > best.pathPrefix().length())) {
        best = q;
      }
    }
    return best;
  }
}
