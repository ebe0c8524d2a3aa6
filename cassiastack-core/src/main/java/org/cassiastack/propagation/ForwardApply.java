package org.cassiastack.propagation;

import java.util.UUID;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.model.Revision;
import org.cassiastack.protocol.Message;

/**
 * An entry hands an operators' change to a control member; answered by {@link ForwardedApply}.
 *
 * @param requestId identity of the request
 * @param changeId identity of the change
 * @param base the revision that the change was made from
 * @param content the whole configuration as a snapshot
 * @since 0.1
 */
public record ForwardApply(
    UUID requestId, ChangeId changeId, Revision base, ConfigurationDelta content)
    implements Message {}
