package org.cassiastack.schedule.internal;

import org.cassiastack.desk.LeaderReply;
import org.cassiastack.model.NodeId;

/** Sends answers to the processes that asked. */
@FunctionalInterface
interface ReplySender {
  /** Sends an answer. */
  void send(NodeId to, LeaderReply reply);
}
