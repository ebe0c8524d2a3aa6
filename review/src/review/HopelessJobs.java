package review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A small share of the jobs can never be done, since no minion has the label that they need. Later
 * the leader is restarted as planned. The other jobs that were accepted must still run.
 */
final class HopelessJobs extends Trial {
  private static final int BOUTS = 4;
  private static final int BOUT_MILLIS = 3_000;

  /** How long the traffic goes on after the last bout. */
  private static final int AFTER_MILLIS = 6_000;

  private static final int JOBS_PER_SECOND = 100;

  /** One job in so many is hopeless, which is a share of 0.077. */
  private static final int HOPELESS_EVERY = 13;

  private static final int FINISH_MILLIS = 14_000;
  private static final int JUDGED_MILLIS = 3_000;
  private static final int SENDERS = 10;
  private static final String WIDE = "/wide/";
  private static final String CHECK = "/check/";

  private final List<String> kept = Collections.synchronizedList(new ArrayList<>());
  private volatile double hopelessUntil;
  private int sent;

  public static void main(String[] arguments) {
    run(new HopelessJobs(), arguments);
  }

  @Override
  int sides() {
    return 3;
  }

  @Override
  List<String> routes() {
    return List.of(
        Callers.route("r-wide", WIDE, SERVICE, 0, 1_500),
        Callers.route("r-check", CHECK, SERVICE, 1, 1_500));
  }

  @Override
  int play() throws Exception {
    hopelessUntil = record.seconds() + BOUTS * BOUT_MILLIS / 1_000.0;
    double end = hopelessUntil + AFTER_MILLIS / 1_000.0;
    List<Thread> senders = new ArrayList<>();
    for (int i = 0; i < SENDERS; i++) {
      Thread t = new Thread(() -> send(end));
      t.start();
      senders.add(t);
    }
    Callers.pause(BOUTS * BOUT_MILLIS + 500);
    int leader = deployment.leader();
    deployment.terminateEdge(leader);
    deployment.startEdge(leader);
    for (Thread t : senders) {
      t.join();
    }
    int accepted = kept.size();
    record.say("%d jobs sent, %d of those that can be done accepted", sent, accepted);
    Callers.pause(FINISH_MILLIS);
    List<String> queued = new ArrayList<>(kept);
    queued.removeIf(path -> !callers.state(path, 4_000).equals("queued"));
    Callers.pause(JUDGED_MILLIS);
    queued.removeIf(path -> !callers.state(path, 4_000).equals("queued"));
    int running = minions.stream().mapToInt(StandInMinion::runningTasks).sum();
    record.say(
        "%d of them are queued %d s after the traffic, and were %d s before; %d tasks run",
        queued.size(), (FINISH_MILLIS + JUDGED_MILLIS) / 1_000, JUDGED_MILLIS / 1_000, running);
    return queued.isEmpty() ? HELD : BROKEN;
  }

  private void send(double end) {
    while (record.seconds() < end) {
      int number = nextNumber();
      boolean hopeless = number % HOPELESS_EVERY == 0 && record.seconds() < hopelessUntil;
      boolean check = number % 10 == 1;
      int millis = check && !hopeless ? 300 : 7_000;
      String label = hopeless && trouble ? ",\"RequiredLabel\":\"c\"" : "";
      String path = (check && !hopeless ? CHECK : WIDE) + Callers.newJobId();
      int status = callers.submit(path, Callers.job(1, 20, millis, millis, label), 3);
      if (status == 200 && !hopeless) {
        kept.add(path);
      }
      Callers.pause(1_000 * SENDERS / JOBS_PER_SECOND);
    }
  }

  private synchronized int nextNumber() {
    sent++;
    return sent;
  }
}
