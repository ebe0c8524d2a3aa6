package org.cassiastack.desk;

import org.cassiastack.protocol.Message;

/**
 * A control member answers a {@link LeaderRequest}.
 *
 * @param call identity of the request
 * @param answer the answer
 * @since 0.2
 */
public record LeaderReply(long call, DeskAnswer answer) implements Message {}
