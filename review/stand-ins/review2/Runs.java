package review2;

import java.util.ArrayList;
import java.util.List;

/** All runs that the stand-in minions have begun, with their ends. */
final class Runs {
  /** One run of a task on a minion; the times are seconds of the record. */
  static final class Run {
    final String task;
    final long number;
    final String minion;
    final double startedAt;
    volatile double endedAt = Double.POSITIVE_INFINITY;
    volatile String how = "";

    Run(String task, long number, String minion, double startedAt) {
      this.task = task;
      this.number = number;
      this.minion = minion;
      this.startedAt = startedAt;
    }

    @Override
    public String toString() {
      return task + " run " + number + " on " + minion;
    }
  }

  private final Record record;
  private final List<Run> runs = new ArrayList<>();

  Runs(Record record) {
    this.record = record;
  }

  synchronized Run begin(String task, long number, String minion) {
    Run run = new Run(task, number, minion, record.now());
    runs.add(run);
    record.line("START %s", run);
    return run;
  }

  synchronized void end(Run run, String how) {
    run.endedAt = record.now();
    run.how = how;
    record.line("END %s %s", run, how);
  }

  /** Returns whether no run is at work. */
  synchronized boolean areAllEnded() {
    return runs.stream().noneMatch(r -> r.how.isEmpty());
  }

  /** Returns the runs of a job. */
  synchronized List<Run> ofJob(String id) {
    return runs.stream().filter(r -> r.task.startsWith(id + ".")).toList();
  }
}
