package review3;

import java.util.List;

/**
 * Watches for the last part of the rule LOST: for 3 s a job has nothing running while the turn of one
 * of its tasks has come, there is capacity for it twice over, and under half of the capacity of the
 * service is in use.
 */
final class Starving {
  private static final double LIMIT_SECONDS = 3;

  private final Rig rig;
  private final long cpuPerMinion;

  Starving(Rig rig, long cpuPerMinion) {
    this.rig = rig;
    this.cpuPerMinion = cpuPerMinion;
  }

  /** A job that the watch follows: each of its tasks needs the same processor capacity. */
  record Watched(String id, long cpu, int tasks) {}

  /**
   * Watches jobs until a time, and returns whether one of them was broken by the rule.
   *
   * @param sound minions that carry out their orders; only their capacity counts
   */
  boolean watch(List<Watched> jobs, List<Minion> sound, double untilSeconds) {
    double[] idleSince = new double[jobs.size()];
    java.util.Arrays.fill(idleSince, Double.NaN);
    boolean broken = false;
    boolean[] reported = new boolean[jobs.size()];
    while (rig.record.seconds() < untilSeconds) {
      long used = 0;
      int free = 0;
      for (Minion m : sound) {
        long here = 0;
        for (Minion.Run r : m.history()) {
          here += r.how.isEmpty() ? Rig.specNumber(r.spec, "cpu", 0) : 0;
        }
        used += here;
        free += (int) ((cpuPerMinion - here) / Math.max(1, jobs.get(0).cpu()));
      }
      boolean halfFree = used * 2 < cpuPerMinion * sound.size();
      for (int i = 0; i < jobs.size(); i++) {
        Watched job = jobs.get(i);
        List<Minion.Run> runs = rig.runsOf(job.id());
        long done = runs.stream().filter(r -> r.how.equals("done")).count();
        boolean active = runs.stream().anyMatch(r -> r.how.isEmpty());
        boolean starves =
            !active && done < job.tasks() && halfFree && free >= 2 * (job.tasks() - done);
        double now = rig.record.seconds();
        if (!starves) {
          idleSince[i] = Double.NaN;
        } else if (Double.isNaN(idleSince[i])) {
          idleSince[i] = now;
        } else if (now - idleSince[i] >= LIMIT_SECONDS && !reported[i]) {
          reported[i] = true;
          broken = true;
          rig.record.add(
              "LOST broken: job %s has had nothing running since %.3f s; %d of %d milli-cores of the"
                  + " service are in use; it is shown as %s",
              job.id(),
              idleSince[i],
              used,
              cpuPerMinion * sound.size(),
              rig.state(rig.edges.get(0), job.id()));
        }
      }
      Rig.sleep(50);
    }
    return broken;
  }
}
