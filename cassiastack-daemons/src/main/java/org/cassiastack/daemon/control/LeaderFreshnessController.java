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
 * Raises {@link QuorumConfirmed} for each extension of this member's leadership lease: the
 * configuration of the leader was confirmed as current at the time at which the extended lease
 * began. Lease extensions are ignored unless the last {@link LeaderChanged} event has reported that
 * this member is the leader and its state machine is up to date.
 *
 * @since 0.1
 */
public final class LeaderFreshnessController implements Controller {
  private final Duration leaseDuration;
  private boolean leading;

  private LeaderFreshnessController(Duration leaseDuration) {
    this.leaseDuration = leaseDuration;
  }

  /**
   * Creates a controller.
   *
   * @param leaseDuration duration of a lease, counted from the time for which a quorum confirmed
   *     the leadership
   */
  public static LeaderFreshnessController create(Duration leaseDuration) {
    return new LeaderFreshnessController(leaseDuration);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    if (event instanceof LeaderChanged l) {
      leading = l.leading();
    }
    if (event instanceof LeaseExtended l && leading) {
      return List.of(new Raise(new QuorumConfirmed(l.until().minus(leaseDuration))));
    }
    return List.of();
  }
}
