package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Some jobs of small tasks run on two minions and end at about the same time. No task that has
 * ended may start again, also when the jobs are wide.
 */
final class WideJob extends Trial {
  private static final int WARM_UP_JOBS = 10;
  private static final int JOBS = 5;
  private static final int WIDE = 300;
  private static final int NARROW = 60;
  private static final int INTERVAL_MILLIS = 500;
  private static final String MAIN = "/main/";

  public static void main(String[] arguments) {
    run(new WideJob(), arguments);
  }

  @Override
  int sides() {
    return 2;
  }

  @Override
  List<String> routes() {
    return List.of(Callers.route("r-main", MAIN, SERVICE, 1, 1_500));
  }

  @Override
  int play() throws Exception {
    for (int i = 0; i < WARM_UP_JOBS; i++) {
      callers.submit(MAIN + Callers.newJobId(), Callers.job(100, 20, 200, 200, ""), 5);
      Callers.pause(400);
    }
    Callers.pause(1_000);
    int tasks = trouble ? WIDE : NARROW;
    List<String> jobs = new ArrayList<>();
    double endsAt = record.seconds() + JOBS * INTERVAL_MILLIS / 1_000.0 + 1;
    for (int i = 0; i < JOBS; i++) {
      String path = MAIN + Callers.newJobId();
      int millis = (int) (1_000 * (endsAt - record.seconds()));
      if (callers.submit(path, Callers.job(tasks, 20, millis, millis, ""), 5) == 200) {
        jobs.add(path);
      }
      Callers.pause(INTERVAL_MILLIS);
    }
    if (jobs.size() < JOBS) {
      return NOT_RUN;
    }
    Callers.pause(10_000);
    for (String path : jobs) {
      record.say("state of %s: \"%s\"", path, callers.state(path, 4_000));
    }
    List<String> twice = runs.startedTwice();
    twice.forEach(t -> record.line("TWICE %s", t));
    record.say(
        "%d starts of %d tasks, twice %d",
        runs.starts().size(), WARM_UP_JOBS * 100 + JOBS * tasks, twice.size());
    return twice.isEmpty() ? HELD : BROKEN;
  }
}
