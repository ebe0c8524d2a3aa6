package org.cassiastack.configuration;

import java.util.UUID;
import org.cassiastack.controller.Event;
import org.cassiastack.model.Revision;

/**
 * Operators want a configuration in force.
 *
 * @param requestId identity of this request, unique in the whole system; the answer carries it
 * @param changeId identity of the change, the same when it is sent again
 * @param base the revision that the change was made from
 * @param content the whole configuration; its revision has no meaning
 * @since 0.1
 */
public record ApplyRequested(
    UUID requestId, ChangeId changeId, Revision base, Configuration content) implements Event {}
