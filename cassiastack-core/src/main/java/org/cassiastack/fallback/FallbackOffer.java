package org.cassiastack.fallback;

import org.cassiastack.model.FailureDomain;
import org.cassiastack.protocol.Message;

/**
 * Message from an entry to a control member: the entry can act as a fallback dispatcher.
 *
 * @param domain failure domain of the entry, which is also the domain of its callers
 * @since 0.4
 */
public record FallbackOffer(FailureDomain domain) implements Message {}
