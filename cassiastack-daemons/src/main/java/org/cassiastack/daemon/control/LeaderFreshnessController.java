package org.cassiastack.daemon.control;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.consensus.QuorumConfirmed;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;

/**
 * Turns each lease of a leader into the moment up to which its configuration is known to be the
 * newest. A lease that comes before the member is known to lead vouches for nothing.
 *
 * @since 0.1
 */
public final class LeaderFreshnessController implements Controller {
  private final Duration lease;
  private boolean leads;

  private LeaderFreshnessController(Duration lease) {
    this.lease = lease;
  }

  /**
   * Makes a controller.
   *
   * @param lease how long a lease lasts from the moment that a quorum confirmed
   */
  public static LeaderFreshnessController create(Duration lease) {
    return new LeaderFreshnessController(lease);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    if (event instanceof LeaderChanged l) {
      leads = l.leading();
    }
    if (event instanceof LeaseExtended l && leads) {
      return List.of(new Raise(new QuorumConfirmed(l.until().minus(lease))));
    }
    return List.of();
  }
}
