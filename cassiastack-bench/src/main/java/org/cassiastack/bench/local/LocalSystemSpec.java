package org.cassiastack.bench.local;

import java.util.Collections;
import java.util.List;

/**
 * Daemons, minions and configuration of a {@link LocalSystem}.
 *
 * @param entries number of entries
 * @param service the service that the minions offer
 * @param customers customers that the configuration declares
 * @param failureDomains number of failure domains, to which the agents are assigned in turn
 * @param slots number of slots of each minion
 * @param speeds speed of each minion; run times of tasks are divided by the speed, and each minion
 *     has an agent of its own
 * @param separateProcesses which daemons run in separate processes
 * @since 0.1
 */
public record LocalSystemSpec(
    int entries,
    String service,
    List<String> customers,
    int failureDomains,
    int slots,
    List<Double> speeds,
    SeparateProcesses separateProcesses) {
  /**
   * Returns the specification of one entry and minions of speed 1 in two failure domains, all in
   * this process.
   *
   * @param agents number of agents and minions
   * @param slots number of slots of each minion
   */
  public static LocalSystemSpec small(int agents, int slots) {
    List<Double> speeds = Collections.nCopies(agents, 1.0);
    return new LocalSystemSpec(1, "ice", List.of("ayaz"), 2, slots, speeds, SeparateProcesses.NONE);
  }

  /** Which daemons run in separate processes. */
  public enum SeparateProcesses {
    /** All daemons run in this process. */
    NONE,
    /** Each entry runs in a separate process, the agents run in this process. */
    ENTRIES,
    /** Each daemon runs in a separate process. */
    ALL
  }
}
