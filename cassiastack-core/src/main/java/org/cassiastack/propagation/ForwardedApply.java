package org.cassiastack.propagation;

import java.util.UUID;
import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.protocol.Message;

/**
 * A control member answers {@link ForwardApply}.
 *
 * @param requestId id of the request
 * @param result outcome of the change
 * @since 0.1
 */
public record ForwardedApply(UUID requestId, ApplyResult result) implements Message {}
