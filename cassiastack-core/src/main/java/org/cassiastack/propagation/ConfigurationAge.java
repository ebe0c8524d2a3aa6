package org.cassiastack.propagation;

import java.time.Duration;
import org.cassiastack.model.Revision;
import org.cassiastack.protocol.Message;

/**
 * Answers {@link AskConfiguration}: at most {@code age} ago, the revision was the newest in the
 * system.
 *
 * @param sequence sequence number of the request
 * @param revision the revision that was the newest
 * @param age time since the revision was confirmed to be the newest, by the clock of the process
 *     that answers
 * @since 0.1
 */
public record ConfigurationAge(long sequence, Revision revision, Duration age) implements Message {}
