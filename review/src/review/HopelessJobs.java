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

  /** Time from the start of a bout to the start of the next one. */
  private static final int BOUT_PERIOD_MILLIS = 5_000;

  /** How long the traffic goes on after the last bout. */
  private static final int AFTER_MILLIS = 6_000;

  private static final int JOBS_PER_SECOND = 100;
  private static final int TASK_MILLI_CPU = 20;

  /** One job in so many is hopeless, which is a share of 0.074 of its queue's jobs. */
  private static final int HOPELESS_EVERY = 15;

  private static final int FINISH_MILLIS = 14_000;
  private static final int JUDGED_MILLIS = 3_000;
  private static final int SENDERS = 10;
  private static final String WIDE = "/wide/";
  private static final String CHECK = "/check/";

  private final List<String> kept = Collections.synchronizedList(new ArrayList<>());
  private volatile double begin;
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
    begin = record.seconds();
    double end = begin + (BOUTS * BOUT_PERIOD_MILLIS + AFTER_MILLIS) / 1_000.0;
    List<Thread> senders = new ArrayList<>();
    for (int i = 0; i < SENDERS; i++) {
      Thread t = new Thread(() -> send(end));
      t.start();
      senders.add(t);
    }
    Callers.pause(BOUTS * BOUT_PERIOD_MILLIS);
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
    int mostTasks = mostRunningTasks();
    queued.removeIf(path -> !callers.state(path, 4_000).equals("queued"));
    queued.removeIf(path -> runs.count(path.substring(path.lastIndexOf('/') + 1)) > 0);
    boolean roomy = mostTasks * TASK_MILLI_CPU < sides() * StandInMinion.CPU / 2;
    record.say(
        "%d jobs stay queued for %d s, from %d s after the traffic on; %d tasks ran at most",
        queued.size(), JUDGED_MILLIS / 1_000, FINISH_MILLIS / 1_000, mostTasks);
    return queued.isEmpty() || !roomy ? HELD : BROKEN;
  }

  /** Returns how many tasks ran at the same time at most, while the rule is judged. */
  private int mostRunningTasks() {
    int most = 0;
    double end = record.seconds() + JUDGED_MILLIS / 1_000.0;
    while (record.seconds() < end) {
      most = Math.max(most, minions.stream().mapToInt(StandInMinion::runningTasks).sum());
      Callers.pause(50);
    }
    return most;
  }

  /** Returns whether hopeless jobs come now. */
  private boolean isBout() {
    int millis = (int) (1_000 * (record.seconds() - begin));
    return millis < BOUTS * BOUT_PERIOD_MILLIS && millis % BOUT_PERIOD_MILLIS < BOUT_MILLIS;
  }

  private void send(double end) {
    while (record.seconds() < end) {
      int number = nextNumber();
      boolean hopeless = number % HOPELESS_EVERY == 0 && isBout();
      boolean check = number % 10 == 1;
      int millis = check && !hopeless ? 300 : 7_000;
      String label = hopeless && trouble ? ",\"RequiredLabel\":\"c\"" : "";
      String path = (check && !hopeless ? CHECK : WIDE) + Callers.newJobId();
      int status = callers.submit(path, Callers.job(1, TASK_MILLI_CPU, millis, millis, label), 3);
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
