package org.cassiastack.bench.load;

import java.util.List;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;

/**
 * A firm's minions and mix of jobs.
 *
 * @param name name of the preset
 * @param service the service that the jobs ask for
 * @param failureDomains number of failure domains
 * @param slots slots of each minion
 * @param speeds speed of each minion; a task takes its run time divided by it
 * @param mix the kinds of jobs; their shares add up to 1
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

  /** Finds a preset. */
  public static Preset of(String name) throws CassiaException {
    return switch (name) {
      case "ayaz" -> ayaz();
      case "inyenyeri" -> inyenyeri();
      default ->
          throw CassiaException.of(
              Refusals.malformed("preset '" + name + "'; allowed: ayaz, inyenyeri"));
    };
  }

  /** Surface checks, frost runs and ice alerts. */
  public static Preset ayaz() {
    Distribution frost =
        Distribution.mixed(
            Distribution.uniform(50, 1_000), Distribution.uniform(2_000, 5_000), 0.01);
    return new Preset(
        "ayaz",
        "ice",
        FAILURE_DOMAINS,
        SLOTS,
        List.of(1.0, 1.0, 0.5, 1.5, 1.0, 0.7, 2.0, 1.0, 1.2, 0.6),
        List.of(
            job("surface-check", 0.75, Distribution.uniform(1, 5), Distribution.uniform(50, 300)),
            job("frost-run", 0.05, Distribution.uniform(50, 400), frost),
            new JobClass(
                "ice-alert",
                "ayaz",
                0.2,
                Distribution.constant(1),
                Distribution.uniform(50, 150),
                false)));
  }

  /** Fault lookups, spare-part reservations, alarm acknowledgements and fleet surveys. */
  public static Preset inyenyeri() {
    return new Preset(
        "inyenyeri",
        "dispatch",
        FAILURE_DOMAINS,
        SLOTS,
        List.of(0.5, 1.0, 1.0, 0.5, 2.0, 1.0, 0.8, 1.0, 1.5, 0.7),
        List.of(
            once("fault-lookup", 0.6, 50, 400, true),
            once("reservation", 0.2, 100, 500, false),
            once("acknowledgement", 0.15, 50, 100, false),
            new JobClass(
                "survey",
                "inyenyeri",
                0.05,
                Distribution.uniform(20, 200),
                Distribution.uniform(50, 1_000),
                true)));
  }

  /** The same minions with one kind of job. */
  public Preset with(Distribution tasks, Distribution runMillis) {
    String customer = mix.get(0).customer();
    JobClass only = new JobClass("only", customer, 1, tasks, runMillis, true);
    return new Preset(name, service, failureDomains, slots, speeds, List.of(only));
  }

  /** The same mix on other minions. */
  public Preset with(int newSlots, List<Double> newSpeeds) {
    return new Preset(name, service, failureDomains, newSlots, newSpeeds, mix);
  }

  /** Returns the rate of jobs that keeps a part of the slots busy. */
  public double jobsPerSecond(double utilization) {
    double work = mix.stream().mapToDouble(c -> c.arrivalShare() * c.meanSlotSeconds()).sum();
    double capacity = slots * speeds.stream().mapToDouble(s -> s).sum();
    return utilization * capacity / work;
  }

  private static JobClass job(
      String name, double share, Distribution tasks, Distribution runMillis) {
    return new JobClass(name, "ayaz", share, tasks, runMillis, true);
  }

  private static JobClass once(
      String name, double share, double least, double most, boolean idempotent) {
    return new JobClass(
        name,
        "inyenyeri",
        share,
        Distribution.constant(1),
        Distribution.uniform(least, most),
        idempotent);
  }
}
