package org.cassiastack.request;

import org.cassiastack.model.FailureDomain;

/**
 * Takes a failure domain out of service or returns it to service, whatever orders were taken
 * before. Sent by and to nodes of versions without {@link SwitchDomainSince}.
 *
 * @param requestId identity of the request
 * @param domain failure domain to switch
 * @param out true to take the domain out of service, so that no task is started in it; false to
 *     return it to service
 * @since 0.2
 */
public record SwitchDomain(long requestId, FailureDomain domain, boolean out)
    implements LeaderRequest {}
