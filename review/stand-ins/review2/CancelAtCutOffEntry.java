package review2;

import java.util.List;

/**
 * An entry is cut off from the control machines. A client cancels a stored job there, and is told
 * that no such job exists.
 */
public final class CancelAtCutOffEntry {
  private static final double CANCEL_SECONDS = 3.0;
  private static final int CUT_MILLIS = 5_000;

  private CancelAtCutOffEntry() {}

  public static void main(String[] arguments) throws Exception {
    Scenario.main(arguments, CancelAtCutOffEntry::play);
  }

  private static boolean play(Scenario s, boolean trouble) throws Exception {
    List<Proxy> links = s.proxyControlLinks();
    s.start(3, 3, 0);
    Deployment.Machine cutOff = s.edges.get(0);
    Deployment.Machine other = s.edges.get(1);
    String job = s.newJobId();

    if (trouble) {
      links.forEach(p -> p.setCut(true));
      s.record.line("CUT %s from all control machines", cutOff.ip());
    }
    double cutAt = s.record.now();
    Scenario.sleep(1_500);
    String body = Scenario.chain(false, 1_000, 2_000, 2_000, 2_000, 2_000, 2_000);
    if (s.client(other, "POST", job, body, 1_500).status() != 200) {
      throw new IllegalStateException("the job was not accepted");
    }
    Scenario.sleep(500);
    Http.Answer cancelled = s.client(cutOff, "DELETE", job, "", 1_500);
    double cancelledAt = s.record.now();
    while (cancelled.status() != 410 && cancelled.status() / 100 != 2) {
      // Not acknowledged: the client asks again, at the other entry.
      cancelled = s.client(other, "DELETE", job, "", 1_500);
      cancelledAt = s.record.now();
    }
    Scenario.sleep(Math.max(0, CUT_MILLIS - Math.round(1_000 * (s.record.now() - cutAt))));
    if (trouble) {
      links.forEach(p -> p.setCut(false));
      s.record.line("HEAL %s", cutOff.ip());
    }
    Scenario.sleep(9_000);
    s.client(other, "GET", job, "", 1_500);

    boolean broken = false;
    for (Runs.Run r : s.runs.ofJob(job)) {
      if (r.startedAt > cancelledAt + CANCEL_SECONDS) {
        s.record.line(
            "STARTED %.1f s after its job's cancelling was acknowledged: %s",
            r.startedAt - cancelledAt, r);
        broken = true;
      }
    }
    return broken;
  }
}
