package org.cassiastack.configuration;

import org.cassiastack.model.Revision;

/**
 * A change as it stands in the replicated log; whether it is accepted is decided when it is
 * applied.
 *
 * @param changeId identity of the change
 * @param base the revision that the change was made from
 * @param content the whole configuration
 * @since 0.1
 */
public record ConfigurationCommand(ChangeId changeId, Revision base, Configuration content) {}
