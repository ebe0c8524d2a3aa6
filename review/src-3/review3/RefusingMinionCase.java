package review3;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * One of eleven minions answers each start with 503 for 5.4 s, as an unhealthy minion does, while it
 * sends heartbeats and answers all other calls. Stored jobs whose last step becomes ready then must
 * run on the other minions, which are empty.
 */
final class RefusingMinionCase implements CaseMain.Case {
  private static final long CPU_PER_MINION = 32_000;
  private static final long TASK_CPU = 3_100;

  /** The site has 5.7 s and 5.5 s for a share that covers one of eleven minions. */
  private static final double REFUSING_SECONDS = 5.4;

  @Override
  public boolean run(Rig rig, boolean trouble) throws Exception {
    rig.startAll(CPU_PER_MINION);
    rig.configure(1, 2, Duration.ofSeconds(30));
    rig.submit(Rig.jobId(1), Rig.job(110, TASK_CPU, 64, 300, ""));
    rig.awaitDone(Rig.jobId(1), 110, 15);
    Rig.sleep(500);

    String chain =
        "{\"Spec\":\"ms=8000 cpu=3100\",\"Steps\":["
            + "{\"Count\":1,\"Cpu\":3100,\"MemMb\":64,\"EstRuntimeMs\":8000},"
            + "{\"Count\":1,\"Cpu\":3100,\"MemMb\":64,\"EstRuntimeMs\":8000,\"After\":[0]},"
            + "{\"Count\":1,\"Cpu\":3100,\"MemMb\":64,\"EstRuntimeMs\":8000,\"After\":[1]}]}";
    List<Starving.Watched> watched = new ArrayList<>();
    for (int i = 2; i < 5; i++) {
      if (rig.submit(Rig.jobId(i), chain) != 200) {
        throw new Rig.CannotRun("the job was not accepted");
      }
      watched.add(new Starving.Watched(Rig.jobId(i), TASK_CPU, 3));
    }
    double end = rig.record.seconds();
    rig.record.add("the traffic ends");
    while (rig.record.seconds() < end + Rig.FINISH_SECONDS + 1.2) {
      Rig.sleep(20);
    }
    // The minion that the leader prefers at this time runs most of the second steps.
    Minion refusing = rig.minions.get(0);
    for (Minion m : rig.minions) {
      refusing = m.runningCount() > refusing.runningCount() ? m : refusing;
    }
    if (refusing.runningCount() == 0) {
      throw new Rig.CannotRun("no minion runs a second step");
    }
    if (trouble) {
      rig.record.add("minion %s refuses all starts from now on", refusing.id);
      refusing.refusingStatus = 503;
    }
    List<Minion> sound = new ArrayList<>(rig.minions);
    sound.remove(refusing);
    double from = rig.record.seconds();
    boolean broken = new Starving(rig, CPU_PER_MINION).watch(watched, sound, from + REFUSING_SECONDS);
    refusing.refusingStatus = 0;
    rig.record.add("minion %s has refused %d starts", refusing.id, refusing.refusedStarts());
    return broken;
  }
}
