package org.cassiastack.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.Resources;

/**
 * A customer's load of docs/design/hard-load.md: kinds of jobs, workers and failure domains.
 *
 * @param kinds kinds of jobs; the index is the priority
 * @param milliCpu processor need of a task of each kind
 * @param workerCount number of workers
 * @param workersPerRack number of workers in a rack
 * @param domains number of failure domains
 * @param milliCpuOfWorker capacity of a worker of size 1
 * @param speeds speeds of the workers, in turn
 * @param remoteFactor factor by which a task runs longer outside the rack of its data
 * @param heavyTail share of tasks that take seven times as long
 * @param swing amplitude of the rates of a domain, as a share of the mean; domains are out of phase
 * @param rackShare share of the jobs of the first kind that have their data in one rack
 * @param weights weights of the worth of the whole, the worst kind and the worst domain
 */
record HardLoad(
    List<Kind> kinds,
    long milliCpu,
    int workerCount,
    int workersPerRack,
    int domains,
    long milliCpuOfWorker,
    List<Double> speeds,
    double remoteFactor,
    double heavyTail,
    double swing,
    double rackShare,
    List<Double> weights) {
  static final double STRETCH = 1.6;
  static final Duration TARGET_LATENCY = Duration.ofMillis(60);
  private static final List<Double> SIZES = List.of(1.0, 1.0, 1.5);
  private static final ServiceName SERVICE = LoadSimulation.SERVICE;
  private static final int MEMORY_MB = 65_536;

  /** The build farm: 3,100 of some 4,800 cores in use on average. */
  static HardLoad forja() {
    return new HardLoad(
        List.of(
            new Kind(144, 8, Duration.ofMillis(86)),
            new Kind(420, 2, Duration.ofMillis(286)),
            new Kind(26, 4, Duration.ofMillis(1_286))),
        6_600,
        70,
        8,
        4,
        55_000,
        List.of(0.6, 1.0, 1.6),
        3,
        0,
        0,
        0,
        List.of(0.4, 0.3, 0.2));
  }

  /** The freight quotes: 500 of some 1,140 cores in use on average. */
  static HardLoad caroni() {
    return new HardLoad(
        List.of(
            new Kind(127, 8, Duration.ofMillis(73)),
            new Kind(370, 2, Duration.ofMillis(243)),
            new Kind(23, 4, Duration.ofMillis(1_086))),
        1_400,
        61,
        10,
        3,
        14_000,
        List.of(1.0, 1.0, 1.3),
        1.5,
        0.03,
        0.55,
        0.58,
        List.of(0.6, 0.15, 0.0));
  }

  /** Returns the workers; a rack lies in one failure domain. */
  List<SimulatedWorker.Kind> workers() {
    List<SimulatedWorker.Kind> workers = new ArrayList<>();
    for (int i = 0; i < workerCount; i++) {
      int rack = i / workersPerRack;
      // Speeds and sizes vary independently of each other.
      double size = SIZES.get(i / speeds.size() % SIZES.size());
      workers.add(
          new SimulatedWorker.Kind(
              new FailureDomain(domain(rack % domains)),
              new Resources((long) (milliCpuOfWorker * size), MEMORY_MB, 0),
              List.of("rack" + rack),
              speeds.get(i % speeds.size())));
    }
    return workers;
  }

  int racks() {
    return (workerCount + workersPerRack - 1) / workersPerRack;
  }

  /** Returns one entry for each failure domain. */
  List<NodeId> entries() {
    List<NodeId> entries = new ArrayList<>();
    for (int d = 0; d < domains; d++) {
      entries.add(new NodeId("10.0.2." + d + "/entry"));
    }
    return entries;
  }

  static String domain(int number) {
    return "domain" + number;
  }

  QueueConfiguration configuration() {
    List<Queue> queues = new ArrayList<>();
    for (int k = 0; k < kinds.size(); k++) {
      String name = "kind" + k;
      queues.add(new Queue(name, "h", "/" + name + "/", SERVICE, k, 2, STRETCH, TARGET_LATENCY));
    }
    return new QueueConfiguration(1, queues, Payload.ofText("document"));
  }

  /**
   * A kind of jobs.
   *
   * @param perSecond mean number of jobs in a second
   * @param tasks mean number of tasks of a job
   * @param runTime mean run time of a task at speed 1
   */
  record Kind(double perSecond, int tasks, Duration runTime) {}
}
