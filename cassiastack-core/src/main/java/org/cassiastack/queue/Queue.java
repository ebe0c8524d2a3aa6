package org.cassiastack.queue;

import java.time.Duration;
import org.cassiastack.model.ServiceName;

/**
 * A queue that callers hand jobs to.
 *
 * @param name its name
 * @param host host that its requests name
 * @param pathPrefix beginning of the paths of its requests
 * @param service whose minions run its tasks
 * @param priority 0 goes first
 * @param maxAttempts number of failed runs of one task that fails its job
 * @param stretch factor of the job's longest chain of work in its objective
 * @param targetLatency fixed part of the objective
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
