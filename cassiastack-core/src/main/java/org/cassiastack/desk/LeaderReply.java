package org.cassiastack.desk;

import org.cassiastack.protocol.Message;

/**
 * A control member answers a {@link LeaderRequest}.
 *
 * @param call identity of the request
 * @param answer the answer
 * @param term the term of the leader that answers; 0 from a process that does not lead
 * @since 0.2
 */
public record LeaderReply(long call, DeskAnswer answer, long term) implements Message {}
