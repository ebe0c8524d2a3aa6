package org.cassiastack.spread;

import java.util.UUID;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.model.Revision;
import org.cassiastack.protocol.Message;

/**
 * An entry hands an operators' change to a control member; answered by {@link ForwardedApply}.
 *
 * @param request identity of the request
 * @param change identity of the change
 * @param base the revision that the change was made from
 * @param content the whole configuration as a snapshot
 * @since 0.1
 */
public record ForwardApply(UUID request, ChangeId change, Revision base, ConfigurationDelta content)
    implements Message {}
