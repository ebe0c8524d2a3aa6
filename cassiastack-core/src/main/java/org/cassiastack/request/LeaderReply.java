package org.cassiastack.request;

import org.cassiastack.protocol.Message;

/**
 * A control member's answer to a {@link LeaderRequest}.
 *
 * @param requestId identity of the request
 * @param answer answer to the request; {@link AnswerCode#NOT_LEADER} from a process that is not the
 *     leader
 * @param term term of the leader that answers; 0 from a process that is not the leader
 * @since 0.2
 */
public record LeaderReply(long requestId, RequestAnswer answer, long term) implements Message {}
