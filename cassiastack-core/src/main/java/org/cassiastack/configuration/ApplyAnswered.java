package org.cassiastack.configuration;

import java.util.UUID;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;

/**
 * The answer to one {@link ApplyRequested}.
 *
 * @param request identity of the request
 * @param result what became of the change
 * @since 0.1
 */
public record ApplyAnswered(UUID request, ApplyResult result) implements Event, Effect {}
