package org.cassiastack.fallback;

import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;

/**
 * An entry that the leader has chosen as a fallback dispatcher.
 *
 * @param node the entry
 * @param domain failure domain of the entry
 * @since 0.4
 */
public record FallbackNode(NodeId node, FailureDomain domain) {}
