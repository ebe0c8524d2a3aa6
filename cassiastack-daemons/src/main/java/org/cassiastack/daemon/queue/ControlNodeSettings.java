package org.cassiastack.daemon.queue;

import java.nio.file.Path;
import java.util.List;
import org.cassiastack.model.NodeId;
import org.cassiastack.schedule.ScheduleSettings;

/**
 * Settings of a control member.
 *
 * @param self node of the member, whose name is the IP address of the member
 * @param seeds control members to connect to first
 * @param memberPort port on which all control members listen
 * @param dataFolder folder of the replicated log
 * @param firstStart whether the whole system is started for the first time
 * @param toleratedLosses number of members whose simultaneous loss the system tolerates
 * @param schedule lease of the agents, margin of the lease expiry, and retention of ended jobs
 * @param maxLogBytes size in bytes at which the replicated log is replaced by a snapshot
 * @since 0.2
 */
public record ControlNodeSettings(
    NodeId self,
    List<NodeId> seeds,
    int memberPort,
    Path dataFolder,
    boolean firstStart,
    int toleratedLosses,
    ScheduleSettings schedule,
    long maxLogBytes) {
  /** Creates settings; the list is copied. */
  public ControlNodeSettings {
    seeds = List.copyOf(seeds);
  }
}
