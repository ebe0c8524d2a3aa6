package org.cassiastack.request;

import java.time.Duration;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;

/**
 * How an entry uses fallback dispatchers.
 *
 * @param self the entry, which may be a fallback dispatcher itself
 * @param domain failure domain of the entry
 * @param mayDispatch whether the entry's machine can carry the load of a dispatcher
 * @param leaseExpiryTimeout time after which all runs of a silent leader have ended
 * @since 0.4
 */
public record EntryFallback(
    NodeId self, FailureDomain domain, boolean mayDispatch, Duration leaseExpiryTimeout) {}
