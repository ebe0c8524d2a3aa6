package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.FutureTask;

/**
 * Three of 39 jobs can never be done; their tasks fail on every minion. The leader ejects all
 * minions of the service for minutes: a job that is stored afterwards is not run, though all
 * minions are sound and idle.
 */
public final class PoisonEjectsAllMinions {
  private static final int GOOD_JOBS = 36;
  private static final int POISON_JOBS = 3;
  private static final int CLIENTS = 2;
  private static final int GOOD_TASKS = 2;
  private static final int POISON_TASKS = 8;
  private static final int TASK_MILLIS = 30;
  private static final double BURST_SECONDS = 3.2;
  private static final int FINISH_MILLIS = 14_000;
  private static final int IDLE_MILLIS = 3_000;

  private PoisonEjectsAllMinions() {}

  public static void main(String[] arguments) throws Exception {
    Scenario.main(arguments, PoisonEjectsAllMinions::play);
  }

  private static boolean play(Scenario s, boolean trouble) throws Exception {
    s.start(1, 2, -1);
    burst(s, trouble);
    Scenario.sleep(1_000);
    String job = submit(s, GOOD_TASKS, false);
    if (job.isEmpty()) {
      throw new IllegalStateException("the last job was not accepted");
    }
    double acceptedAt = s.record.now();
    Scenario.sleep(FINISH_MILLIS);
    Deployment.Machine entry = s.edges.get(0);
    s.client(entry, "GET", job, "", 1_500);
    Scenario.sleep(IDLE_MILLIS);
    Http.Answer state = s.client(entry, "GET", job, "", 1_500);
    int runs = s.runs.ofJob(job).size();
    s.record.line(
        "job %s: %d runs in %.1f s after its acceptance",
        job, runs, s.record.now() - acceptedAt);
    return runs == 0 && state.status() == 200;
  }

  /** Jobs that are done, and then jobs that can never be done, within 3.2 s. */
  private static void burst(Scenario s, boolean trouble) throws Exception {
    double at = s.record.now();
    List<FutureTask<String>> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(
          Scenario.inBackground(
              () -> {
                String last = "";
                for (int j = 0; j < GOOD_JOBS / CLIENTS; j++) {
                  last = submit(s, GOOD_TASKS, false);
                }
                return last;
              }));
    }
    for (FutureTask<String> client : clients) {
      client.get();
    }
    s.await("the first jobs are done", 5, s.runs::areAllEnded);
    Scenario.sleep(100);
    for (int i = 0; i < POISON_JOBS; i++) {
      submit(s, POISON_TASKS, trouble);
      Scenario.sleep(250);
    }
    double seconds = s.record.now() - at;
    s.record.line("%d jobs in %.2f s", GOOD_JOBS + POISON_JOBS, seconds);
    if (seconds > BURST_SECONDS) {
      throw new IllegalStateException("this machine is too slow for " + BURST_SECONDS + " s");
    }
  }

  private static String submit(Scenario s, int tasks, boolean poison) {
    String job = s.newJobId();
    String body = Scenario.step(tasks, 1_000, TASK_MILLIS, poison);
    int status = s.client(s.edges.get(0), "POST", job, body, 1_500).status();
    return status == 200 ? job : "";
  }
}
