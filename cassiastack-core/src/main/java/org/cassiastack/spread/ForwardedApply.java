package org.cassiastack.spread;

import java.util.UUID;
import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.protocol.Message;

/**
 * A control member answers {@link ForwardApply}.
 *
 * @param request identity of the request
 * @param result what became of the change
 * @since 0.1
 */
public record ForwardedApply(UUID request, ApplyResult result) implements Message {}
