package org.cassiastack.schedule.internal;

import org.cassiastack.model.NodeId;

/**
 * Sender of a request to the leader, who waits for the answer.
 *
 * @param node process that sent the request
 * @param requestId identity of the request, unique within the process
 */
record Caller(NodeId node, long requestId) {}
