package org.cassiastack.queue;

import java.time.Duration;
import org.cassiastack.model.ServiceName;

/**
 * A queue that callers submit jobs to.
 *
 * @param name name by which jobs in the ledger refer to the queue
 * @param host host name in the requests for this queue
 * @param pathPrefix prefix of the paths of the requests for this queue
 * @param service service whose minions run the tasks of the queue
 * @param priority priority of the queue; 0 is the highest, greater numbers are lower
 * @param maxAttempts number of failed runs of one task at which its job fails
 * @param stretch factor in the latency objective of a job, which is the run time of the job's
 *     longest chain of dependent steps, times this factor, plus {@code targetLatency}
 * @param targetLatency constant part of the latency objective
 * @since 0.2
 */
public record Queue(
    String name,
    String host,
    String pathPrefix,
    ServiceName service,
    int priority,
    int maxAttempts,
    double stretch,
    Duration targetLatency) {}
