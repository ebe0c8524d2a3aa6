package org.cassiastack.schedule.internal;

import org.cassiastack.model.NodeId;
import org.cassiastack.request.LeaderReply;

/** Sends answers to the processes that asked. */
@FunctionalInterface
interface ReplySender {
  /** Sends an answer. */
  void send(NodeId to, LeaderReply reply);
}
