package org.cassiastack.bench.load;

import java.util.List;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;

/**
 * Minions and mix of jobs of an example organisation.
 *
 * @param name name of the preset
 * @param service the service that runs the tasks of all jobs
 * @param failureDomains number of failure domains
 * @param slots number of slots of each minion
 * @param speeds speed of each minion; the run time of a task is divided by the speed
 * @param mix the classes of jobs; their arrival shares add up to 1
 * @since 0.1
 */
public record Preset(
    String name,
    String service,
    int failureDomains,
    int slots,
    List<Double> speeds,
    List<JobClass> mix) {
  private static final int FAILURE_DOMAINS = 3;
  private static final int SLOTS = 8;

  /**
   * Returns the preset of a name.
   *
   * @throws CassiaException when no preset has the name
   */
  public static Preset of(String name) throws CassiaException {
    return switch (name) {
      case "ayaz" -> ayaz();
      case "inyenyeri" -> inyenyeri();
      default ->
          throw CassiaException.of(
              Refusals.malformed("preset '" + name + "'; allowed: ayaz, inyenyeri"));
    };
  }

  /** Returns the preset with surface checks, frost runs and ice alerts. */
  public static Preset ayaz() {
    Distribution frostRunMillis =
        Distribution.mixed(
            Distribution.uniform(50, 1_000), Distribution.uniform(2_000, 5_000), 0.01);
    return new Preset(
        "ayaz",
        "ice",
        FAILURE_DOMAINS,
        SLOTS,
        List.of(1.0, 1.0, 0.5, 1.5, 1.0, 0.7, 2.0, 1.0, 1.2, 0.6),
        List.of(
            ayazJob(
                "surface-check", 0.75, Distribution.uniform(1, 5), Distribution.uniform(50, 300)),
            ayazJob("frost-run", 0.05, Distribution.uniform(50, 400), frostRunMillis),
            new JobClass(
                "ice-alert",
                "ayaz",
                0.2,
                Distribution.constant(1),
                Distribution.uniform(50, 150),
                false)));
  }

  /**
   * Returns the preset with fault lookups, spare-part reservations, alarm acknowledgements and
   * fleet surveys.
   */
  public static Preset inyenyeri() {
    return new Preset(
        "inyenyeri",
        "dispatch",
        FAILURE_DOMAINS,
        SLOTS,
        List.of(0.5, 1.0, 1.0, 0.5, 2.0, 1.0, 0.8, 1.0, 1.5, 0.7),
        List.of(
            singleTaskJob("fault-lookup", 0.6, 50, 400, true),
            singleTaskJob("reservation", 0.2, 100, 500, false),
            singleTaskJob("acknowledgement", 0.15, 50, 100, false),
            new JobClass(
                "survey",
                "inyenyeri",
                0.05,
                Distribution.uniform(20, 200),
                Distribution.uniform(50, 1_000),
                true)));
  }

  /** Returns a preset with the same minions and a single class of jobs, which are idempotent. */
  public Preset with(Distribution taskCount, Distribution runMillis) {
    String customer = mix.get(0).customer();
    JobClass onlyClass = new JobClass("only", customer, 1, taskCount, runMillis, true);
    return new Preset(name, service, failureDomains, slots, speeds, List.of(onlyClass));
  }

  /** Returns a preset with the same mix and other minions. */
  public Preset with(int newSlots, List<Double> newSpeeds) {
    return new Preset(name, service, failureDomains, newSlots, newSpeeds, mix);
  }

  /**
   * Returns the arrival rate that keeps a share of the slots busy.
   *
   * @param utilization share of the slots, such as 0.6; above 1 the system is overloaded
   */
  public double jobsPerSecond(double utilization) {
    double meanSlotSecondsPerJob =
        mix.stream()
            .mapToDouble(jobClass -> jobClass.arrivalShare() * jobClass.meanSlotSeconds())
            .sum();
    double slotsOfSpeedOne = slots * speeds.stream().mapToDouble(speed -> speed).sum();
    return utilization * slotsOfSpeedOne / meanSlotSecondsPerJob;
  }

  private static JobClass ayazJob(
      String name, double share, Distribution taskCount, Distribution runMillis) {
    return new JobClass(name, "ayaz", share, taskCount, runMillis, true);
  }

  private static JobClass singleTaskJob(
      String name, double share, double minRunMillis, double maxRunMillis, boolean idempotent) {
    return new JobClass(
        name,
        "inyenyeri",
        share,
        Distribution.constant(1),
        Distribution.uniform(minRunMillis, maxRunMillis),
        idempotent);
  }
}
