package org.cassiastack.request;

import org.cassiastack.controller.Effect;

/**
 * The effect of answering a {@link DeskCall}; each is answered once.
 *
 * @param requestId identity of the request
 * @param answer the answer
 * @since 0.2
 */
public record RequestAnswered(long requestId, RequestAnswer answer) implements Effect {}
