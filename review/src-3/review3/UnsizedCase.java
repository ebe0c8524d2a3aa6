package review3;

import java.time.Duration;
import java.util.List;

/**
 * A stored job of eleven tasks requests neither processor time nor memory, and its tasks take 22 s.
 * A job that comes after it must run beside them, because all room is free.
 */
final class UnsizedCase implements CaseMain.Case {
  private static final long CPU_PER_MINION = 32_000;
  private static final long TASK_CPU = 3_100;

  @Override
  public boolean run(Rig rig, boolean trouble) throws Exception {
    rig.startAll(CPU_PER_MINION);
    rig.configure(1, 2, Duration.ofSeconds(30));
    Rig.sleep(3_000);

    long cpu = trouble ? 0 : 1;
    if (rig.submit(Rig.jobId(1), Rig.job(11, cpu, 0, 22_000, "")) != 200) {
      throw new Rig.CannotRun("the first job was not accepted");
    }
    Rig.sleep(500);
    String id = Rig.jobId(2);
    if (rig.submit(id, Rig.job(4, TASK_CPU, 64, 300, "")) != 200) {
      throw new Rig.CannotRun("the second job was not accepted");
    }
    double end = rig.record.seconds();
    rig.record.add("the traffic ends");
    while (rig.record.seconds() < end + Rig.FINISH_SECONDS) {
      Rig.sleep(50);
    }
    rig.record.add("finish_s after the end of the traffic");
    boolean broken =
        new Starving(rig, CPU_PER_MINION)
            .watch(
                List.of(new Starving.Watched(id, TASK_CPU, 4)),
                rig.minions,
                rig.record.seconds() + 10);
    rig.record.add("the second job is shown as %s", rig.state(rig.edges.get(0), id));
    return broken;
  }
}
