package review;

import java.util.List;

/**
 * A zone is taken back while its control machine is frozen, and evacuated again before the machine
 * wakes. No task may start in the zone while the second evacuation is in force.
 */
final class LateOrder extends Trial {
  private static final int FREEZE_MILLIS = 5_000;
  private static final int EVACUATE_MILLIS = 5_000;
  private static final int MAX_STRETCH_MILLIS = 5_000;
  private static final int CONTACT_MILLIS = 3_000;
  private static final int JUDGED_MILLIS = 22_000;
  private static final String MAIN = "/main/";

  private volatile boolean stopped;

  public static void main(String[] arguments) {
    run(new LateOrder(), arguments);
  }

  @Override
  int sides() {
    return 3;
  }

  @Override
  List<String> routes() {
    return List.of(Callers.route("r-main", MAIN, SERVICE, 1, 1_500));
  }

  @Override
  int play() throws Exception {
    Thread traffic = new Thread(this::submitJobs);
    traffic.start();
    int frozen = (deployment.leader() + 1) % Deployment.EDGES;
    int healthy = (frozen + 1) % Deployment.EDGES;
    String zone = Deployment.zone(frozen);
    String evacuation = "/evacuation/" + zone;
    callers.order(healthy, "POST", evacuation, null, 4_000);
    Callers.pause(3_000);
    if (trouble) {
      deployment.freezeEdge(frozen, true);
    }
    int takenBack = callers.order(frozen, "DELETE", evacuation, null, 4_000);
    Callers.pause(1_000);
    int evacuated = callers.order(healthy, "POST", evacuation, null, 4_000);
    double from = record.seconds();
    Callers.pause(FREEZE_MILLIS - 2_500);
    if (trouble) {
      deployment.freezeEdge(frozen, false);
    }
    double thawed = record.seconds();
    Callers.pause(JUDGED_MILLIS);
    stopped = true;
    traffic.join();
    double judgedFrom =
        Math.max(
            from + (EVACUATE_MILLIS + MAX_STRETCH_MILLIS) / 1_000.0,
            thawed + CONTACT_MILLIS / 1_000.0);
    long broken =
        runs.starts().stream()
            .filter(s -> s.zone.equals(zone))
            .filter(s -> s.startedAt > judgedFrom)
            .peek(s -> record.line("EVAC %s", s))
            .count();
    record.say(
        "taken back %d, evacuated %d at %.3f, starts in the zone after %.3f: %d",
        takenBack, evacuated, from, judgedFrom, broken);
    if (takenBack != 200 || evacuated != 200) {
      return NOT_RUN;
    }
    return broken > 0 ? BROKEN : HELD;
  }

  private void submitJobs() {
    while (!stopped) {
      callers.submit(MAIN + Callers.newJobId(), Callers.job(4, 3_100, 300, 300, ""), 3);
      Callers.pause(100);
    }
  }
}
