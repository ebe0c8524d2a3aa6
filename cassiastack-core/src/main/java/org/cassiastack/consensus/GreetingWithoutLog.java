package org.cassiastack.consensus;

import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Message;
import org.jspecify.annotations.Nullable;

/**
 * Answer to a {@link MemberGreeting} by a listed node that has no storage and therefore never
 * becomes a member.
 *
 * @param from the listed node
 * @param inReplyTo the member whose greeting this message answers
 * @param founder the member that may bootstrap the log if no listed node has storage; null while
 *     the node has not designated one. Only the designation by the listed node with the lowest name
 *     counts
 * @since 0.3
 */
public record GreetingWithoutLog(NodeId from, MemberId inReplyTo, @Nullable MemberId founder)
    implements Message {}
