package org.cassiastack.request;

import org.cassiastack.model.FailureDomain;

/**
 * An operator takes a failure domain out of service or returns it to service.
 *
 * @param requestId identity of the request
 * @param domain the failure domain
 * @param out whether the domain is out of service, so that no task may start there
 * @since 0.2
 */
public record SwitchDomain(long requestId, FailureDomain domain, boolean out)
    implements LeaderRequest {}
