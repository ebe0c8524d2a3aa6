package org.cassiastack.configuration;

import java.util.UUID;
import org.cassiastack.controller.Event;
import org.cassiastack.model.Revision;

/**
 * Operators request that a configuration be put in force.
 *
 * @param requestId id of this request, unique in the whole system and repeated in the answer
 * @param changeId id of the change, the same in each request that submits the change again
 * @param base the revision on which the change is based
 * @param content the whole configuration; its revision is ignored
 * @since 0.1
 */
public record ApplyRequested(
    UUID requestId, ChangeId changeId, Revision base, Configuration content) implements Event {}
