package review3;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * All minions but one are full, and that one answers each start with 503 for 6.5 s. Stored jobs that
 * are accepted meanwhile have not begun anywhere, so the queue's Pending must count them.
 */
final class PendingCase implements CaseMain.Case {
  private static final long CPU_PER_MINION = 32_000;
  private static final int JOBS = 20;

  @Override
  public boolean run(Rig rig, boolean trouble) throws Exception {
    rig.startAll(CPU_PER_MINION);
    rig.configure(1, 2, Duration.ofSeconds(30));
    rig.submit(Rig.jobId(1), Rig.job(110, 3_000, 64, 300, ""));
    PoisonCase.awaitDone(rig, Rig.jobId(1), 110, 15);
    Rig.sleep(500);

    rig.submit(Rig.jobId(2), Rig.job(10, 32_000, 64, 15_000, ""));
    Rig.sleep(1_000);
    Minion free = null;
    for (Minion m : rig.minions) {
      free = m.runningCount() == 0 ? m : free;
    }
    if (free == null) {
      throw new Rig.CannotRun("no minion is empty");
    }
    if (trouble) {
      rig.record.add("minion %s refuses all starts from now on", free.id);
      free.refusingStatus = 503;
    }
    double from = rig.record.seconds();
    List<CompletableFuture<Integer>> answers = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      answers.add(rig.submitLater(Rig.jobId(10 + i), Rig.job(1, 1_500, 64, 1_000, "")));
    }
    for (CompletableFuture<Integer> a : answers) {
      if (a.get() != 200) {
        throw new Rig.CannotRun("a job was not accepted: " + a.get());
      }
    }
    double accepted = rig.record.seconds();
    boolean broken = false;
    while (rig.record.seconds() < from + 6.4) {
      double now = rig.record.seconds();
      int waiting = 0;
      for (int i = 0; i < JOBS; i++) {
        waiting += rig.runsOf(Rig.jobId(10 + i)).isEmpty() ? 1 : 0;
      }
      for (Rig.Machine m : rig.edges) {
        long pending = rig.pending(m);
        boolean old = now > accepted + Rig.VISIBLE_SECONDS + 2;
        boolean wrong = old && pending >= 0 && pending * 2 < waiting;
        rig.record.add(
            "GET %s at %s -> Pending %d; accepted and not begun: %d, since over %.1f s",
            Rig.PREFIX, m.name, pending, waiting, now - accepted);
        if (wrong) {
          rig.record.add("MIXED broken: Pending is under half of the jobs that have not begun");
          broken = true;
        }
      }
      Rig.sleep(300);
    }
    free.refusingStatus = 0;
    rig.record.add("minion %s has refused %d starts", free.id, free.refusedStarts());
    return broken;
  }
}
