package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * A side machine freezes for less than a lease, and meanwhile one heartbeat of another writer
 * comes, which names a service that no configuration has. No task may run at two minions at a time.
 */
final class OddHeartbeat extends Trial {
  private static final int ROUNDS = 6;
  private static final int JOBS = 6;
  private static final int FREEZE_MILLIS = 600;
  private static final String MAIN = "/main/";

  public static void main(String[] arguments) {
    run(new OddHeartbeat(), arguments);
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
    for (int round = 0; round < ROUNDS; round++) {
      for (int i = 0; i < JOBS; i++) {
        callers.submit(MAIN + Callers.newJobId(), Callers.job(4, 500, 4_000, 4_000, ""), 3);
      }
      Callers.pause(700);
      int side = round % sides();
      deployment.freezeSide(side, true);
      if (trouble) {
        Thread writer = new Thread(() -> sendOddHeartbeat(side));
        writer.setDaemon(true);
        writer.start();
      }
      Callers.pause(FREEZE_MILLIS);
      deployment.freezeSide(side, false);
      Callers.pause(5_000);
    }
    List<String> twice = runs.startedTwice();
    twice.forEach(t -> record.line("TWICE %s", t));
    record.say(
        "%d starts of %d tasks, twice %d", runs.starts().size(), ROUNDS * JOBS * 4, twice.size());
    return twice.isEmpty() ? HELD : BROKEN;
  }

  private void sendOddHeartbeat(int side) {
    ObjectNode b = Http.JSON.createObjectNode();
    b.put("Service", "road-desk").put("Address", deployment.sideIp(side) + ":9");
    b.put("Zone", Deployment.zone(side)).put("Version", "v1").put("Slots", 8);
    b.put("State", "ready").put("ColdLeftMs", 0);
    b.putObject("Capacity").put("Cpu", 16_000).put("MemMb", 32_768).put("Gpu", 0);
    b.putArray("Labels").add("a");
    b.put("CurrentTimeMs", 482_113).put("Seq", 4).put("born", System.currentTimeMillis());
    String uri =
        "http://"
            + deployment.sideIp(side)
            + ":"
            + deployment.controlPort()
            + "/instances/i-5a5a5a5a";
    int status = Http.send("PUT", uri, null, b.toString(), 2_000).status();
    record.line("odd heartbeat at side-%d -> %d", side + 1, status);
  }
}
