package review3;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * 104 stored jobs come within 3.2 s, and 8 of them (0.077) can never be done: all their tasks end
 * failed. The other jobs must run.
 */
final class PoisonCase implements CaseMain.Case {
  private static final long CPU_PER_MINION = 32_000;
  private static final long TASK_CPU = 3_100;
  private static final int JOBS = 104;
  private static final int POISON_JOBS = 8;

  @Override
  public boolean run(Rig rig, boolean trouble) throws Exception {
    rig.startAll(CPU_PER_MINION);
    rig.configure(1, 2, Duration.ofSeconds(30));
    // One job that shows that every minion is in use.
    int next = 1;
    rig.submit(Rig.jobId(next), Rig.job(110, TASK_CPU, 64, 300, ""));
    awaitDone(rig, Rig.jobId(next), 110, 15);
    Rig.sleep(1_000);

    double start = rig.record.seconds();
    String poison = trouble ? Rig.job(32, TASK_CPU, 64, 60, " end=failed") : null;
    List<CompletableFuture<Integer>> answers = new ArrayList<>();
    List<Starving.Watched> sound = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      next++;
      String id = Rig.jobId(next);
      boolean bad = i < POISON_JOBS;
      if (bad && trouble) {
        answers.add(rig.submitLater(id, poison));
      } else {
        answers.add(rig.submitLater(id, Rig.job(bad ? 32 : 2, TASK_CPU, 64, 300, "")));
        sound.add(new Starving.Watched(id, TASK_CPU, bad ? 32 : 2));
      }
      // The last one of the first jobs comes half a second later, the others spread over 2.5 s.
      Rig.sleep(i < POISON_JOBS - 2 ? 10 : i == POISON_JOBS - 2 ? 500 : 25);
    }
    for (CompletableFuture<Integer> a : answers) {
      if (a.get() != 200) {
        throw new Rig.CannotRun("a job was not accepted: " + a.get());
      }
    }
    double end = rig.record.seconds();
    rig.record.add("the traffic of %.2f s ends", end - start);
    double asked = end + Rig.FINISH_SECONDS;
    while (rig.record.seconds() < asked) {
      Rig.sleep(50);
    }
    rig.record.add("finish_s after the end of the traffic");
    boolean broken =
        new Starving(rig, CPU_PER_MINION).watch(sound, rig.minions, rig.record.seconds() + 15);
    for (Starving.Watched job : sound) {
      long done =
          rig.runsOf(job.id()).stream().filter(r -> r.how.equals("done")).count();
      rig.record.add(
          "job %s: %d of %d tasks done, shown as %s",
          job.id(), done, job.tasks(), rig.state(rig.edges.get(0), job.id()));
    }
    return broken;
  }

  static void awaitDone(Rig rig, String id, int tasks, double limitSeconds) throws Exception {
    double end = rig.record.seconds() + limitSeconds;
    while (rig.record.seconds() < end) {
      long done = rig.runsOf(id).stream().filter(r -> r.how.equals("done")).count();
      if (done >= tasks) {
        return;
      }
      Rig.sleep(50);
    }
    throw new Rig.CannotRun("the first job was not run");
  }
}
