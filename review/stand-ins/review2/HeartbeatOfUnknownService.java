package review2;

/**
 * One heartbeat of another writer reaches each agent: it names a service that the configuration
 * does not have. A job that is stored afterwards is never run, though all minions are idle.
 */
public final class HeartbeatOfUnknownService {
  private static final int FINISH_MILLIS = 14_000;
  private static final int IDLE_MILLIS = 3_000;

  private HeartbeatOfUnknownService() {}

  public static void main(String[] arguments) throws Exception {
    Scenario.main(arguments, HeartbeatOfUnknownService::play);
  }

  private static boolean play(Scenario s, boolean trouble) throws Exception {
    s.start(1, 2, -1);
    Deployment.Machine entry = s.edges.get(0);
    String first = s.newJobId();
    if (s.client(entry, "POST", first, Scenario.chain(false, 1_000, 300), 1_500).status() != 200) {
      throw new IllegalStateException("the first job was not accepted");
    }
    Scenario.sleep(2_000);
    s.client(entry, "GET", first, "", 1_500);
    if (trouble) {
      for (int i = 0; i < s.minions.size(); i++) {
        Minion m = s.minions.get(i);
        String body = m.announcement("kuvo77z", 500, m.born);
        Http.Answer answer =
            Http.call(
                Deployment.address(s.sides.get(i).ip(), s.deployment.controlPort()),
                "PUT",
                "/instances/" + m.id,
                "agent",
                "",
                body,
                1_000);
        s.record.line("FOREIGN PUT /instances/%s %s: %s", m.id, body, answer);
      }
    }
    Scenario.sleep(500);
    String job = s.newJobId();
    if (s.client(entry, "POST", job, Scenario.chain(false, 1_000, 300), 1_500).status() != 200) {
      throw new IllegalStateException("the job was not accepted");
    }
    Scenario.sleep(FINISH_MILLIS);
    s.client(entry, "GET", job, "", 1_500);
    Scenario.sleep(IDLE_MILLIS);
    Http.Answer state = s.client(entry, "GET", job, "", 1_500);
    boolean neverRun = s.runs.ofJob(job).isEmpty();
    s.record.line(
        "job %s: %d runs in %d s after its acceptance, all minions idle",
        job, s.runs.ofJob(job).size(), (FINISH_MILLIS + IDLE_MILLIS) / 1_000);
    return neverRun && !state.body().contains("completed");
  }
}
