package org.cassiastack.request;

import org.cassiastack.queue.QueueConfiguration;

/**
 * An operator submits a configuration.
 *
 * @param requestId identity of the request
 * @param configuration configuration that comes into force if its version is the highest so far
 * @since 0.2
 */
public record StoreConfiguration(long requestId, QueueConfiguration configuration)
    implements LeaderRequest {}
