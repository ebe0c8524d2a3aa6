package org.cassiastack.queue;

import java.util.List;
import org.cassiastack.model.Payload;
import org.jspecify.annotations.Nullable;

/**
 * A configuration: a set of queues, and the document that declared them.
 *
 * @param version version of the configuration; the highest version is in force
 * @param queues the declared queues
 * @param document the operator's document, returned unchanged on request
 * @since 0.2
 */
public record QueueConfiguration(long version, List<Queue> queues, Payload document) {
  /** Creates a configuration; the list is copied. */
  public QueueConfiguration {
    queues = List.copyOf(queues);
  }

  /**
   * Finds the queue of a request: of the queues with the host of the request, the queue with the
   * longest matching path prefix.
   *
   * @return the queue, or null if none matches
   */
  public @Nullable Queue find(String host, String path) {
    Queue best = null;
    for (Queue q : queues) {
      boolean matches = q.host().equals(host) && path.startsWith(q.pathPrefix());
      if (matches && (best == null || q.pathPrefix().length() > best.pathPrefix().length())) {
        best = q;
      }
    }
    return best;
  }
}
