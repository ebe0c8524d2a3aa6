package review3;

import java.time.Duration;
import java.util.List;

/**
 * An edge machine without a disk is cut off from the machines with a disk for 5 s; clients reach it,
 * and it says that it is ready. A stored job that another machine has accepted meanwhile is
 * cancelled there. Once the cancelling is acknowledged, no task of the job may start after cancel_ms.
 */
final class CancelCase implements CaseMain.Case {
  private static final long CPU_PER_MINION = 32_000;
  private static final double CUT_SECONDS = 5;

  @Override
  public boolean run(Rig rig, boolean trouble) throws Exception {
    rig.startAll(CPU_PER_MINION);
    rig.startRemote();
    rig.configure(1, 2, Duration.ofSeconds(30));
    double ready = rig.record.seconds() + 20;
    while (rig.pending(rig.remote) < 0 && rig.record.seconds() < ready) {
      Rig.sleep(100);
    }
    Rig.sleep(4_000);

    double from = rig.record.seconds();
    if (trouble) {
      rig.cutRemote(true);
    }
    Rig.sleep(1_500);
    // Four steps of 2 s, one after the other.
    String step = "{\"Count\":2,\"Cpu\":3100,\"MemMb\":64,\"EstRuntimeMs\":2000";
    String id = Rig.jobId(1);
    int status =
        rig.submit(
            id,
            "{\"Spec\":\"ms=2000 cpu=3100\",\"Steps\":["
                + step
                + "},"
                + step
                + ",\"After\":[0]},"
                + step
                + ",\"After\":[1]},"
                + step
                + ",\"After\":[2]}]}");
    if (status != 200) {
      throw new Rig.CannotRun("the job was not accepted: " + status);
    }
    Rig.sleep(500);
    Rig.Answer health = rig.call("GET", rig.ready(rig.remote), "", "", 900);
    rig.record.add("GET /ready at %s -> %d", rig.remote.name, health.status);
    Rig.Answer cancelled =
        rig.call("DELETE", rig.front(rig.remote) + Rig.PREFIX + id, Rig.HOST, "", 1_500);
    double acknowledged = rig.record.seconds();
    rig.record.add("DELETE %s at %s -> %d %s", id, rig.remote.name, cancelled.status, cancelled.body);
    while (rig.record.seconds() < from + CUT_SECONDS) {
      Rig.sleep(20);
    }
    if (trouble) {
      rig.cutRemote(false);
    }
    Rig.sleep(6_000);
    rig.record.add("the job is shown as %s", rig.state(rig.edges.get(0), id));
    if (cancelled.status != 200 && cancelled.status != 410) {
      rig.record.add("the cancelling was not acknowledged");
      return false;
    }
    boolean broken = false;
    List<Minion.Run> runs = rig.runsOf(id);
    for (Minion.Run r : runs) {
      if (r.startedAt > acknowledged + Rig.CANCEL_SECONDS) {
        rig.record.add(
            "UNASKED broken: %s starts %.3f s after the cancelling was acknowledged",
            r.task, r.startedAt - acknowledged);
        broken = true;
      }
    }
    return broken;
  }
}
