package org.cassiastack.consensus;

import org.cassiastack.protocol.Message;
import org.jspecify.annotations.Nullable;

/**
 * A member that no leader replicates to makes itself known, or another answers it.
 *
 * @param from the member
 * @param logEmpty whether its log is empty
 * @param inReplyTo the member that is answered, or null when an answer is wanted
 * @since 0.1
 */
public record MemberGreeting(MemberId from, boolean logEmpty, @Nullable MemberId inReplyTo)
    implements Message {}
