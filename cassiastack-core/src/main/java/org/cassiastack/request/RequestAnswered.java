package org.cassiastack.request;

import org.cassiastack.controller.Effect;

/**
 * Effect: answers a {@link RequestPosted}. Each call is answered once.
 *
 * @param requestId identity of the request
 * @param answer the leader's answer, or the outcome that this process determined without an answer
 * @since 0.2
 */
public record RequestAnswered(long requestId, RequestAnswer answer) implements Effect {}
