package org.cassiastack.desk;

import org.cassiastack.controller.Effect;

/**
 * The effect of answering a {@link DeskCall}; each is answered once.
 *
 * @param call identity of the request
 * @param answer the answer
 * @since 0.2
 */
public record DeskAnswered(long call, DeskAnswer answer) implements Effect {}
