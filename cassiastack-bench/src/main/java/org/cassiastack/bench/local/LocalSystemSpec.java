package org.cassiastack.bench.local;

import java.util.Collections;
import java.util.List;

/**
 * What a local system is made of.
 *
 * @param entries number of entries
 * @param service the service that the minions offer
 * @param customers declared customers
 * @param failureDomains number of failure domains; agents are put into them in turn
 * @param slots slots of each minion
 * @param speeds speed of each minion, one agent for each
 * @param separateProcesses which daemons get a process of their own
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
  /** One entry and minions of equal speed in two failure domains, all in this process. */
  public static LocalSystemSpec small(int agents, int slots) {
    List<Double> speeds = Collections.nCopies(agents, 1.0);
    return new LocalSystemSpec(1, "ice", List.of("ayaz"), 2, slots, speeds, SeparateProcesses.NONE);
  }

  /** Which daemons get a process of their own. */
  public enum SeparateProcesses {
    /** All daemons run in this process. */
    NONE,
    /** Each entry gets a process, agents run in this one. */
    ENTRIES,
    /** Each daemon gets a process. */
    ALL
  }
}
