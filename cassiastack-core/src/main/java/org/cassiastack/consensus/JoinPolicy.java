package org.cassiastack.consensus;

import java.time.Duration;

/**
 * Rules for bootstrapping the log and for adding and removing voters.
 *
 * @param bootstrapAllowed whether a new log may be bootstrapped. Allow this only at the very first
 *     start of a system: at a later start, nodes that have lost their disks cannot be distinguished
 *     from new nodes
 * @param unlistedAllowed whether nodes that the settings do not list may join
 * @param minVoters number of voters, if unlisted nodes may join; further members stand by as
 *     learners. An unresponsive voter is removed only if a learner can replace it, or while there
 *     are more voters than this
 * @param voterTimeout time without a reply after which a voter counts as unresponsive
 * @since 0.2
 */
public record JoinPolicy(
    boolean bootstrapAllowed, boolean unlistedAllowed, int minVoters, Duration voterTimeout) {
  /** Returns the policy under which the members are exactly the nodes listed in the settings. */
  public static JoinPolicy listedNodes() {
    return new JoinPolicy(true, false, Integer.MAX_VALUE, Duration.ZERO);
  }

  /**
   * Returns the policy under which any node may join and may replace an unresponsive voter.
   *
   * @param bootstrapAllowed whether the nodes listed in the settings may bootstrap the log
   * @param minVoters number of voters; further members stand by as learners
   * @param voterTimeout time without a reply after which a voter counts as unresponsive
   */
  public static JoinPolicy unlistedAllowed(
      boolean bootstrapAllowed, int minVoters, Duration voterTimeout) {
    return new JoinPolicy(bootstrapAllowed, true, minVoters, voterTimeout);
  }
}
