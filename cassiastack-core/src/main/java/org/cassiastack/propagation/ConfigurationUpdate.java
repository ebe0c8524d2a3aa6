package org.cassiastack.propagation;

import java.util.List;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.protocol.Message;

/**
 * Brings a process to a newer revision.
 *
 * @param deltas each follows on the one before; the first may be a snapshot
 * @since 0.1
 */
public record ConfigurationUpdate(List<ConfigurationDelta> deltas) implements Message {}
