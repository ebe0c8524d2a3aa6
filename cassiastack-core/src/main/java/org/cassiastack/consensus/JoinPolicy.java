package org.cassiastack.consensus;

import java.time.Duration;

/**
 * Who may found the log and who may join it.
 *
 * @param bootstrapAllowed whether a log may be founded; only at the very first start of a system,
 *     since emptied disks look the same later
 * @param unlistedAllowed whether nodes that the settings do not name may join
 * @param minVoters silent voters are removed down to this number
 * @param voterTimeout how long a voter has to be silent before it is removed
 * @since 0.2
 */
public record JoinPolicy(
    boolean bootstrapAllowed, boolean unlistedAllowed, int minVoters, Duration voterTimeout) {
  /** The members are exactly the nodes that the settings name. */
  public static JoinPolicy listedNodes() {
    return new JoinPolicy(true, false, Integer.MAX_VALUE, Duration.ZERO);
  }

  /**
   * Any node may join, and takes the place of a voter that has fallen silent.
   *
   * @param mayFound whether the nodes that the settings name may found the log
   * @param leastVoters silent voters are removed down to this number
   * @param silence how long a voter has to be silent before it is removed
   */
  public static JoinPolicy unlistedAllowed(boolean mayFound, int leastVoters, Duration silence) {
    return new JoinPolicy(mayFound, true, leastVoters, silence);
  }
}
