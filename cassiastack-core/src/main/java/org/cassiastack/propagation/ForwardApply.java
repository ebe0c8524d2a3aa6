package org.cassiastack.propagation;

import java.util.UUID;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.model.Revision;
import org.cassiastack.protocol.Message;

/**
 * A process forwards an operators' change to a control member, which answers with {@link
 * ForwardedApply}.
 *
 * @param requestId id of the request
 * @param changeId id of the change
 * @param base the revision on which the change is based
 * @param content the whole configuration as a snapshot
 * @since 0.1
 */
public record ForwardApply(
    UUID requestId, ChangeId changeId, Revision base, ConfigurationDelta content)
    implements Message {}
