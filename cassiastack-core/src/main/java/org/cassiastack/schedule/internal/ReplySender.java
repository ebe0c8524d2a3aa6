package org.cassiastack.schedule.internal;

import org.cassiastack.model.NodeId;
import org.cassiastack.request.LeaderReply;

/** Sends replies to the processes that sent the requests. */
@FunctionalInterface
interface ReplySender {
  /** Sends a reply to a process. */
  void send(NodeId to, LeaderReply reply);
}
