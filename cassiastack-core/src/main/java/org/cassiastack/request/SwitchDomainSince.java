package org.cassiastack.request;

import org.cassiastack.model.FailureDomain;

/**
 * Takes a failure domain out of service or returns it to service, unless the leader has taken
 * another order for the domain since a revision.
 *
 * @param requestId identity of the request
 * @param domain failure domain to switch
 * @param out true to take the domain out of service, so that no task is started in it; false to
 *     return it to service
 * @param basedOn revision that the order is based on; a revision of another term is refused
 * @since 0.2
 */
public record SwitchDomainSince(
    long requestId, FailureDomain domain, boolean out, DomainRevision basedOn)
    implements LeaderRequest {}
