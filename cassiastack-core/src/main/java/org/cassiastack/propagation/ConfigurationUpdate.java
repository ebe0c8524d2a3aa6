package org.cassiastack.propagation;

import java.util.List;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.protocol.Message;

/**
 * Contains the deltas that bring a process to a newer revision.
 *
 * @param deltas deltas in order, each of which applies to the result of the previous delta; the
 *     first may be a snapshot
 * @since 0.1
 */
public record ConfigurationUpdate(List<ConfigurationDelta> deltas) implements Message {}
