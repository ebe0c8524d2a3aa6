package org.cassiastack.request;

import org.cassiastack.protocol.Message;

/**
 * A request that only the leader can answer. Requests are idempotent: sending a request twice has
 * the same effect as sending it once.
 *
 * @since 0.2
 */
public interface LeaderRequest extends Message {
  /** Returns the identity of the request, unique within the process that sends it. */
  long requestId();
}
