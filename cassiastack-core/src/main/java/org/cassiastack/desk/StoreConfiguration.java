package org.cassiastack.desk;

import org.cassiastack.queue.QueueConfiguration;

/**
 * An operator hands in a configuration.
 *
 * @param call identity of the request
 * @param configuration the configuration
 * @since 0.2
 */
public record StoreConfiguration(long call, QueueConfiguration configuration)
    implements LeaderRequest {}
