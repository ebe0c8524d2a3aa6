package org.cassiastack.request;

import org.cassiastack.protocol.Message;

/**
 * A control member answers a {@link LeaderRequest}.
 *
 * @param requestId identity of the request
 * @param answer the answer
 * @param term the term of the leader that answers; 0 from a process that does not lead
 * @since 0.2
 */
public record LeaderReply(long requestId, RequestAnswer answer, long term) implements Message {}
