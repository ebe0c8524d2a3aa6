package org.cassiastack.consensus;

import org.cassiastack.protocol.Message;
import org.jspecify.annotations.Nullable;

/**
 * Message with which control members learn of each other. A member that hears from no leader and
 * may not be a voter sends a greeting without {@code inReplyTo} to all nodes that it knows, and
 * each receiver replies with a greeting of its own. A leader also takes a greeting without {@code
 * inReplyTo} as a request to be added, if the sender's node may join.
 *
 * @param from the sender
 * @param logEmpty whether the sender's log is empty. The member that may create the first entry of
 *     the log does so only once all other listed nodes have replied that their logs are empty
 * @param inReplyTo the member whose greeting this message answers, or null if this message requests
 *     a reply
 * @since 0.1
 */
public record MemberGreeting(MemberId from, boolean logEmpty, @Nullable MemberId inReplyTo)
    implements Message {}
