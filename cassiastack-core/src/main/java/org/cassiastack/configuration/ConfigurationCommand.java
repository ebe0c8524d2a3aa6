package org.cassiastack.configuration;

import org.cassiastack.model.Revision;

/**
 * A change as stored in the replicated log. The decision whether the change is accepted is made
 * when the command is applied.
 *
 * @param changeId id of the change
 * @param base the revision on which the change is based
 * @param content the whole configuration
 * @since 0.1
 */
public record ConfigurationCommand(ChangeId changeId, Revision base, Configuration content) {}
