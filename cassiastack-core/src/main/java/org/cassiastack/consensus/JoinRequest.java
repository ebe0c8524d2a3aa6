package org.cassiastack.consensus;

import org.cassiastack.protocol.Message;

/**
 * Message that asks the leader to add a member. A process that receives a {@link MemberGreeting}
 * and is not the leader sends it to the leader, because the greeting member may not know a process
 * that is connected to the leader. A receiver that is not the leader ignores it.
 *
 * @param member the member to add
 * @since 0.3
 */
public record JoinRequest(MemberId member) implements Message {}
