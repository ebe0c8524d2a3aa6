package org.cassiastack.consensus;

import java.time.Instant;
import java.util.List;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;

/**
 * An in-memory log with a single member: each proposal is committed at once, and the log is lost
 * when the process ends. For simulations in one process and for tests of code that uses a log.
 *
 * @since 0.1
 */
public final class SingleMemberLog implements Controller {
  private long lastIndex;

  private SingleMemberLog() {}

  /** Creates an empty log. */
  public static SingleMemberLog create() {
    return new SingleMemberLog();
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    if (event instanceof ProposeCommand p) {
      lastIndex++;
      return List.of(new Raise(new CommandCommitted(lastIndex, p.proposalId(), p.command())));
    }
    // The only member is a quorum by itself, so each tick confirms its leadership.
    return event instanceof Tick ? List.of(new Raise(new QuorumConfirmed(now))) : List.of();
  }
}
