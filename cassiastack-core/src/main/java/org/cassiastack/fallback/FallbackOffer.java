package org.cassiastack.fallback;

import org.cassiastack.model.FailureDomain;
import org.cassiastack.protocol.Message;

/**
 * Message from an entry to a control member: the entry uses fallback dispatchers.
 *
 * @param domain failure domain of the entry, which is also the domain of its callers
 * @param mayDispatch whether the entry may be chosen as a fallback dispatcher
 * @since 0.4
 */
public record FallbackOffer(FailureDomain domain, boolean mayDispatch) implements Message {}
