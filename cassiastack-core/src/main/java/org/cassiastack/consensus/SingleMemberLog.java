package org.cassiastack.consensus;

import java.time.Instant;
import java.util.List;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;

/**
 * A log of one member in memory: each proposal is committed at once and lost with the process. For
 * trials in one process, and for tests of what stands on a log.
 *
 * @since 0.1
 */
public final class SingleMemberLog implements Controller {
  private long last;

  private SingleMemberLog() {}

  /** Makes an empty log. */
  public static SingleMemberLog create() {
    return new SingleMemberLog();
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    if (event instanceof ProposeCommand p) {
      last++;
      return List.of(new Raise(new CommandCommitted(last, p.proposalId(), p.command())));
    }
    // Its quorum is itself, so each tick confirms it.
    return event instanceof Tick ? List.of(new Raise(new QuorumConfirmed(now))) : List.of();
  }
}
