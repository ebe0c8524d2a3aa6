package org.cassiastack.propagation;

import org.cassiastack.model.Revision;
import org.cassiastack.protocol.Message;

/**
 * A process requests a confirmation that its configuration is the newest. The receiver answers with
 * {@link ConfigurationAge}, unless its own last confirmation is older than the maximum age of a
 * configuration with which work may start. If the receiver holds a newer configuration, it sends
 * {@link ConfigurationUpdate} first.
 *
 * @param sequence number of the request, increasing with each request of a process
 * @param heldRevision the revision that the requester holds
 * @since 0.1
 */
public record AskConfiguration(long sequence, Revision heldRevision) implements Message {}
