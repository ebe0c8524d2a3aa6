package org.cassiastack.propagation;

import org.cassiastack.model.Revision;
import org.cassiastack.protocol.Message;

/**
 * A process asks how old its configuration is; answered by {@link ConfigurationAge}, and by {@link
 * ConfigurationUpdate} before that when the other side holds a newer one.
 *
 * @param serial grows with each question of a process
 * @param heldRevision the revision that the asker holds
 * @since 0.1
 */
public record AskConfiguration(long serial, Revision heldRevision) implements Message {}
