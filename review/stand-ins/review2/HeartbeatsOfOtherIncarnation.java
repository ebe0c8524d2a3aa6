package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.FutureTask;

/**
 * Heartbeats of another writer reach the agent of a minion that runs a task of a stored job. The
 * task is started on another minion while its run goes on.
 */
public final class HeartbeatsOfOtherIncarnation {
  private static final int PAIRS = 8;

  private HeartbeatsOfOtherIncarnation() {}

  public static void main(String[] arguments) throws Exception {
    Scenario.main(arguments, HeartbeatsOfOtherIncarnation::play);
  }

  private static boolean play(Scenario s, boolean trouble) throws Exception {
    s.start(1, 2, -1);
    Deployment.Machine entry = s.edges.get(0);
    String job = s.newJobId();
    if (s.client(entry, "POST", job, Scenario.chain(false, 1_000, 40_000), 1_500).status() != 200) {
      throw new IllegalStateException("the job was not accepted");
    }
    Scenario.sleep(1_500);
    for (int i = 0; i < PAIRS && trouble; i++) {
      Runs.Run running = null;
      for (Runs.Run r : s.runs.ofJob(job)) {
        running = r.how.isEmpty() ? r : running;
      }
      if (running == null) {
        break;
      }
      sendPair(s, running.minion);
      Scenario.sleep(2_500);
      if (s.hasTwoRuns(job)) {
        return true;
      }
    }
    Scenario.sleep(2_000);
    return s.hasTwoRuns(job);
  }

  /**
   * Sends a heartbeat twice, as a writer does that has not yet seen the acknowledgement. It names a
   * service that is not in the configuration.
   */

  private static void sendPair(Scenario s, String minion) throws Exception {
    for (int i = 0; i < s.minions.size(); i++) {
      Minion m = s.minions.get(i);
      if (!m.id.equals(minion)) {
        continue;
      }
      String body = m.announcement("kuvo77z", 1, System.currentTimeMillis());
      String ip = s.sides.get(i).ip();
      List<FutureTask<Http.Answer>> calls = new ArrayList<>();
      for (int j = 0; j < 2; j++) {
        calls.add(
            Scenario.inBackground(
                () ->
                    Http.call(
                        Deployment.address(ip, s.deployment.controlPort()),
                        "PUT",
                        "/instances/i-77",
                        "agent",
                        "",
                        body,
                        1_000)));
      }
      for (FutureTask<Http.Answer> c : calls) {
        s.record.line("FOREIGN PUT /instances/i-77 at %s %s: %s", ip, body, c.get());
      }
    }
  }
}
