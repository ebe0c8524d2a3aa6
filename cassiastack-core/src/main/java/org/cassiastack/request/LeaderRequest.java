package org.cassiastack.request;

import org.cassiastack.protocol.Message;

/**
 * A request that only the leader can answer. Sending it twice has the effect of sending it once.
 *
 * @since 0.2
 */
public interface LeaderRequest extends Message {
  /** Returns the identity of the request at the process that sends it. */
  long requestId();
}
