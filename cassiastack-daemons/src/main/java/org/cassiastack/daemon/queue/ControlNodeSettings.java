package org.cassiastack.daemon.queue;

import java.nio.file.Path;
import java.util.List;
import org.cassiastack.model.NodeId;
import org.cassiastack.schedule.ScheduleSettings;

/**
 * Settings of a control member.
 *
 * @param self its node, named by its IP number
 * @param seeds control members to begin with
 * @param memberPort where control members listen
 * @param dataFolder its data folder
 * @param firstStart whether the whole system starts for the first time
 * @param toleratedLosses number of members that may be lost at a time
 * @param schedule settings of the leader's work
 * @since 0.2
 */
public record ControlNodeSettings(
    NodeId self,
    List<NodeId> seeds,
    int memberPort,
    Path dataFolder,
    boolean firstStart,
    int toleratedLosses,
    ScheduleSettings schedule) {
  /** Makes settings; the list is copied. */
  public ControlNodeSettings {
    seeds = List.copyOf(seeds);
  }
}
