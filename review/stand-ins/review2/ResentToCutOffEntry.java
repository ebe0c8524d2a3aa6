package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.FutureTask;
import java.util.concurrent.atomic.AtomicReference;

/**
 * An entry and an agent are cut off from the control machines, and another entry is killed while it
 * waits for a job that need not be stored. The client sends the job again, to the entry that is cut
 * off, which starts it beside the first run.
 */
public final class ResentToCutOffEntry {
  private static final int DEADLINE_MILLIS = 5_000;
  private static final int TASK_MILLIS = 4_000;
  private static final int RESEND_MILLIS = 1_300;
  private static final int RESTART_MILLIS = 100;
  private static final int CUT_MILLIS = 5_000;

  private ResentToCutOffEntry() {}

  public static void main(String[] arguments) throws Exception {
    Scenario.main(arguments, ResentToCutOffEntry::play);
  }

  private static boolean play(Scenario s, boolean trouble) throws Exception {
    List<Proxy> links = s.proxyControlLinks();
    s.shiftSide(0);
    s.start(3, 6, 0);
    Deployment.Machine cutOff = s.edges.get(0);
    Deployment.Machine killed = s.edges.get(1);
    if (trouble) {
      links.forEach(p -> p.setCut(true));
      s.record.line("CUT %s and %s from all control machines", cutOff.ip(), s.sides.get(0).ip());
    }
    double cutAt = s.record.now();
    Scenario.sleep(1_000);
    String job = s.newJobId();
    String body = Scenario.chain(true, 1_000, TASK_MILLIS);
    AtomicReference<Double> brokenAt = new AtomicReference<>(0.0);
    FutureTask<Http.Answer> first =
        Scenario.inBackground(
            () -> {
              Http.Answer answer = s.client(killed, "POST", job, body, DEADLINE_MILLIS);
              brokenAt.set(s.record.now());
              return answer;
            });
    s.await("the job has begun", 2, () -> !s.runs.ofJob(job).isEmpty());
    if (trouble) {
      s.killEntry(killed);
      Scenario.sleep(RESTART_MILLIS);
      s.deployment.start("entry", killed);
    }
    if (first.get().status() == 0) {
      double resendAt = brokenAt.get() + RESEND_MILLIS / 1e3;
      s.await("the time to send the job again has come", 2, () -> s.record.now() > resendAt);
      FutureTask<Http.Answer> second =
          Scenario.inBackground(() -> s.client(cutOff, "POST", job, body, DEADLINE_MILLIS));
      long left = CUT_MILLIS - Math.round(1_000 * (s.record.now() - cutAt));
      Scenario.sleep(Math.max(0, left));
      links.forEach(p -> p.setCut(false));
      s.record.line("HEAL");
      second.get();
    }
    Scenario.sleep(1_000);
    return s.hasTwoRuns(job);
  }
}
