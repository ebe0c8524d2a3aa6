package org.cassiastack.schedule.faults;

import org.cassiastack.agent.CallHold;
import org.cassiastack.agent.CallStart;
import org.cassiastack.agent.CallStop;
import org.cassiastack.controller.Effect;

/** The kinds of calls of an agent to its minion. */
enum CallKind {
  START(CallStart.class),
  STOP(CallStop.class),
  HOLD(CallHold.class);

  private final Class<? extends Effect> type;

  CallKind(Class<? extends Effect> type) {
    this.type = type;
  }

  boolean includes(Effect call) {
    return type.isInstance(call);
  }
}
