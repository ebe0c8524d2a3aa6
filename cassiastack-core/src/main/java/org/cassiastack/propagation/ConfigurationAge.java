package org.cassiastack.propagation;

import java.time.Duration;
import org.cassiastack.model.Revision;
import org.cassiastack.protocol.Message;

/**
 * Answers {@link AskConfiguration}: so long ago, at most, the revision was the newest of all.
 *
 * @param serial serial of the question
 * @param revision the revision that was newest
 * @param age time since then, by the clock of the process that answers
 * @since 0.1
 */
public record ConfigurationAge(long serial, Revision revision, Duration age) implements Message {}
