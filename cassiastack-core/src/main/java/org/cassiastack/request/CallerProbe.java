package org.cassiastack.request;

import java.time.Instant;
import org.cassiastack.protocol.Message;

/**
 * Message from a dispatcher (the leader or a fallback dispatcher) to an entry: which jobs do
 * callers of this entry still wait for? The entry answers with {@link AwaitedJobs}.
 *
 * @param sentAt when the probe was sent, by the clock of the dispatcher
 * @since 0.5
 */
public record CallerProbe(Instant sentAt) implements Message {}
