package org.cassiastack.configuration;

import java.util.UUID;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;

/**
 * The answer to an {@link ApplyRequested}.
 *
 * @param requestId id of the request
 * @param result outcome of the change
 * @since 0.1
 */
public record ApplyAnswered(UUID requestId, ApplyResult result) implements Event, Effect {}
