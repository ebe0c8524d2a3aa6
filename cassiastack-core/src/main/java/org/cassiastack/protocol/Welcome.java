package org.cassiastack.protocol;

import org.cassiastack.model.NodeId;

/**
 * An entry's answer to an {@link Announce}, which shows the agent that the connection works.
 *
 * @param entry the entry
 * @param sequence sequence number of the announcement that is answered
 * @since 0.1
 */
public record Welcome(NodeId entry, long sequence) implements Message {}
