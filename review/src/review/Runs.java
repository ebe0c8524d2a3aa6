package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What all minions have run, for the checks of the rules TWICE and EVAC. */
final class Runs {
  private final Record record;
  private final Map<String, List<Start>> startsByTask = new HashMap<>();
  private final List<Start> starts = new ArrayList<>();

  Runs(Record record) {
    this.record = record;
  }

  synchronized void started(String minion, String zone, String task, long run) {
    Start s = new Start(minion, zone, task, run, record.seconds());
    starts.add(s);
    startsByTask.computeIfAbsent(task, t -> new ArrayList<>()).add(s);
    record.line("run start %s#%d minion=%s zone=%s", task, run, minion, zone);
  }

  synchronized void ended(String minion, long number, String task, long run, String how) {
    Start s = find(minion, task, run);
    s.endedAt = record.seconds();
    s.how = how;
    record.line("run end %s#%d %s minion=%s number=%d", task, run, how, minion, number);
  }

  synchronized void acknowledged(String minion, long number, String task, long run) {
    find(minion, task, run).acknowledged = true;
    record.line("run acknowledged %s#%d minion=%s number=%d", task, run, minion, number);
  }

  synchronized List<Start> starts() {
    return List.copyOf(starts);
  }

  synchronized int count(String job) {
    return (int) starts.stream().filter(s -> s.task.startsWith(job + ".")).count();
  }

  /**
   * Returns the starts that the rule TWICE forbids: one that overlaps another run of its task, or
   * one after a run that ended {@code done} and whose end was acknowledged then or later. No minion
   * restarts in these trials. An end on a minion whose lease has lapsed does not count.
   */
  synchronized List<String> startedTwice() {
    List<String> found = new ArrayList<>();
    for (List<Start> runsOfTask : startsByTask.values()) {
      for (Start a : runsOfTask) {
        for (Start b : runsOfTask) {
          if (a == b || b.startedAt < a.startedAt) {
            continue;
          }
          if (b.startedAt < a.endedAt) {
            found.add(b + " while " + a + " runs until " + a.endedAt);
          } else if (a.how.equals("done") && a.acknowledged && !hasLapsed(a)) {
            found.add(b + " after " + a + " was done at " + a.endedAt);
          }
        }
      }
    }
    return found;
  }

  private boolean hasLapsed(Start a) {
    return starts.stream()
        .anyMatch(
            s -> s.minion.equals(a.minion) && s.how.equals("lapsed") && s.endedAt >= a.endedAt);
  }

  private Start find(String minion, String task, long run) {
    return startsByTask.get(task).stream()
        .filter(s -> s.minion.equals(minion) && s.run == run)
        .findFirst()
        .orElseThrow();
  }

  /** One start of a task at a minion. Times are seconds of the record. */
  static final class Start {
    final String minion;
    final String zone;
    final String task;
    final long run;
    final double startedAt;
    double endedAt = Double.POSITIVE_INFINITY;
    String how = "";
    boolean acknowledged;

    Start(String minion, String zone, String task, long run, double startedAt) {
      this.minion = minion;
      this.zone = zone;
      this.task = task;
      this.run = run;
      this.startedAt = startedAt;
    }

    @Override
    public String toString() {
      return String.format("%s#%d on %s at %.3f", task, run, minion, startedAt);
    }
  }
}
