package org.cassiastack.consensus;

import org.cassiastack.protocol.Message;
import org.jspecify.annotations.Nullable;

/**
 * A member that receives nothing from a leader announces itself, or another member replies to such
 * an announcement.
 *
 * @param from the sender
 * @param logEmpty whether the sender's log is empty
 * @param inReplyTo the member whose greeting this message answers, or null if this message requests
 *     a reply
 * @since 0.1
 */
public record MemberGreeting(MemberId from, boolean logEmpty, @Nullable MemberId inReplyTo)
    implements Message {}
