package org.cassiastack.request;

import java.time.Instant;
import org.cassiastack.controller.Event;
import org.cassiastack.model.FailureDomain;
import org.jspecify.annotations.Nullable;

/**
 * Event: an operator orders that a failure domain is taken out of service or returned to service.
 *
 * <p>An operator that gets no answer soon sends its next order to another node, while this node may
 * read the first one only then. So that an order does not undo a newer one, it is based on a {@link
 * DomainRevision} from a moment at which its operator certainly waited.
 *
 * @param requestId identity of the request
 * @param domain failure domain to switch
 * @param out true to take the domain out of service, so that no task is started in it; false to
 *     return it to service
 * @param awaitedUntil time until which the operator certainly waits for an answer
 * @param basedOn revision that the operator has confirmed the order with; null if this node is to
 *     ask the leader for one
 * @param deadline time after which an answer is too late to be useful
 * @since 0.2
 */
public record DomainOrder(
    long requestId,
    FailureDomain domain,
    boolean out,
    Instant awaitedUntil,
    @Nullable DomainRevision basedOn,
    Instant deadline)
    implements Event {}
