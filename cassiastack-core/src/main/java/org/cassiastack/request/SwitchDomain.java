package org.cassiastack.request;

import org.cassiastack.model.FailureDomain;

/**
 * An operator takes a failure domain out or brings it back.
 *
 * @param requestId identity of the request
 * @param domain the failure domain
 * @param out whether nothing may start there
 * @since 0.2
 */
public record SwitchDomain(long requestId, FailureDomain domain, boolean out)
    implements LeaderRequest {}
