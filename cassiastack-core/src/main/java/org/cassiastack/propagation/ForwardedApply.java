package org.cassiastack.propagation;

import java.util.UUID;
import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.protocol.Message;

/**
 * A control member answers {@link ForwardApply}.
 *
 * @param requestId identity of the request
 * @param result what became of the change
 * @since 0.1
 */
public record ForwardedApply(UUID requestId, ApplyResult result) implements Message {}
