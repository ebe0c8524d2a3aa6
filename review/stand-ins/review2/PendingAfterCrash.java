package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * One of eight minions is lost for good. Stored jobs that were about to start there wait for room
 * on the others, and the count of jobs that have not started leaves them out.
 */
public final class PendingAfterCrash {
  private static final int MINIONS = 8;
  private static final int WAITING_JOBS = 5;
  private static final int VISIBLE_MILLIS = 5_500;

  private PendingAfterCrash() {}

  public static void main(String[] arguments) throws Exception {
    Scenario.main(arguments, PendingAfterCrash::play);
  }

  private static boolean play(Scenario s, boolean trouble) throws Exception {
    s.start(1, MINIONS, -1);
    Deployment.Machine entry = s.edges.get(0);
    // One job takes all of the room of each minion but one.
    List<String> longJobs = new ArrayList<>();
    for (int i = 0; i < MINIONS - 1; i++) {
      longJobs.add(submit(s, entry, Scenario.step(1, Scenario.MILLI_CPU, 40_000, false)));
    }
    Scenario.sleep(1_500);
    Minion free = null;
    for (Minion m : s.minions) {
      boolean used =
          longJobs.stream()
              .flatMap(j -> s.runs.ofJob(j).stream())
              .anyMatch(r -> r.minion.equals(m.id));
      free = used ? free : m;
    }
    if (free == null) {
      throw new IllegalStateException("no minion is idle");
    }
    if (trouble) {
      free.crash();
    }
    List<String> waiting = new ArrayList<>();
    for (int i = 0; i < WAITING_JOBS; i++) {
      waiting.add(submit(s, entry, Scenario.step(1, 3_000, 20_000, false)));
    }
    Scenario.sleep(VISIBLE_MILLIS);
    long unstarted = waiting.stream().filter(j -> s.runs.ofJob(j).isEmpty()).count();
    Http.Answer answer = s.client(entry, "GET", "", "", 1_500);
    s.client(entry, "GET", waiting.get(0), "", 1_500);
    String digits = answer.body().replaceAll("\\D", "");
    long pending = digits.isEmpty() ? 0 : Long.parseLong(digits);
    s.record.line(
        "%d jobs have not begun %.1f s after their acceptance; Pending is %d",
        unstarted, VISIBLE_MILLIS / 1e3, pending);
    return answer.status() == 200 && 2 * pending < unstarted;
  }

  private static String submit(Scenario s, Deployment.Machine entry, String body) {
    String job = s.newJobId();
    if (s.client(entry, "POST", job, body, 1_500).status() != 200) {
      throw new IllegalStateException("a job was not accepted");
    }
    return job;
  }
}
