package org.cassiastack.configuration;

import java.util.UUID;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;

/**
 * The answer to one {@link ApplyRequested}.
 *
 * @param requestId identity of the request
 * @param result what became of the change
 * @since 0.1
 */
public record ApplyAnswered(UUID requestId, ApplyResult result) implements Event, Effect {}
