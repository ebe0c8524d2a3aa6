package org.cassiastack.request;

import java.time.Instant;
import java.util.List;
import org.cassiastack.protocol.Message;
import org.cassiastack.queue.QueuedJobId;

/**
 * An entry's answer to a {@link CallerProbe}: the jobs that it has sent to this dispatcher and that
 * its callers waited for after the probe had arrived. The dispatcher counts the confirmation from
 * the sending of the probe, so that an answer that was held up on its way confirms nothing later.
 *
 * @param probeSentAt {@link CallerProbe#sentAt} of the probe that is answered
 * @param jobs the jobs; those that need to be stored are not among them
 * @since 0.5
 */
public record AwaitedJobs(Instant probeSentAt, List<QueuedJobId> jobs) implements Message {
  /** Creates an answer; the list is copied. */
  public AwaitedJobs {
    jobs = List.copyOf(jobs);
  }
}
