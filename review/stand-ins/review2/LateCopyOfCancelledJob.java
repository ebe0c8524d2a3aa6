package review2;

import java.util.concurrent.FutureTask;

/**
 * A job that need not be stored is cancelled, and both calls are answered. Six seconds later a copy
 * of its submission arrives, and its task is started again.
 */
public final class LateCopyOfCancelledJob {
  private static final double CANCEL_SECONDS = 3.0;
  private static final int COPY_DELAY_MILLIS = 6_000;
  private static final int DEADLINE_MILLIS = 5_000;

  private LateCopyOfCancelledJob() {}

  public static void main(String[] arguments) throws Exception {
    Scenario.main(arguments, LateCopyOfCancelledJob::play);
  }

  private static boolean play(Scenario s, boolean trouble) throws Exception {
    s.start(2, 2, -1);
    String job = s.newJobId();
    String body = Scenario.chain(true, 1_000, 3_000);
    FutureTask<Http.Answer> submission =
        Scenario.inBackground(
            () -> s.client(s.edges.get(0), "POST", job, body, DEADLINE_MILLIS));
    Scenario.sleep(700);
    Http.Answer cancelled = s.client(s.edges.get(1), "DELETE", job, "", 1_500);
    double cancelledAt = s.record.now();
    if (submission.get().status() != 200 || cancelled.status() != 200) {
      throw new IllegalStateException("the calls were not answered with 200");
    }
    Scenario.sleep(COPY_DELAY_MILLIS);
    if (trouble) {
      s.client(s.edges.get(1), "POST", job, body, DEADLINE_MILLIS);
    }
    Scenario.sleep(1_000);
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
