package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Routes are removed one after another while clients still submit jobs to them; then the leader is
 * stopped as planned and started again. The jobs that were accepted must still be known.
 */
final class RemovedRoutes extends Trial {
  private static final int IDLE_ROUTES = 8;
  private static final int ROUNDS = 110;
  private static final int MORE_ROUTES = 350;
  private static final int SENDERS = 12;
  private static final int JOBS_PER_SECOND = 100;
  private static final int FINISH_MILLIS = 14_000;
  private static final int ACK_MILLIS = 4_000;
  private static final String MAIN = "/main/";

  private long version = 1;
  private volatile int round;
  private volatile boolean stopped;

  public static void main(String[] arguments) {
    run(new RemovedRoutes(), arguments);
  }

  @Override
  int sides() {
    return 2;
  }

  @Override
  List<String> routes() {
    return routes(round, 0);
  }

  /** Returns the main route and the idle routes of a round without the first ones. */
  private static List<String> routes(int round, int removed) {
    List<String> routes = new ArrayList<>();
    routes.add(Callers.route("r-main", MAIN, SERVICE, 1, 1_500));
    for (int i = removed; i < IDLE_ROUTES; i++) {
      routes.add(Callers.route("r-" + round + "-" + i, prefix(round, i), SERVICE, 1, 1_500));
    }
    for (int i = 0; i < MORE_ROUTES; i++) {
      routes.add(Callers.route("r-more-" + i, "/more" + i + "/", SERVICE, 2, 1_500));
    }
    return routes;
  }

  private static String prefix(int round, int route) {
    return "/idle" + round + "x" + route + "/";
  }

  @Override
  int play() throws Exception {
    List<String> kept = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      String path = MAIN + Callers.newJobId();
      if (callers.submit(path, Callers.job(1, 100, 60_000, 60_000, ""), 5) == 200) {
        kept.add(path);
      }
    }
    List<Thread> senders = new ArrayList<>();
    for (int i = 0; i < SENDERS; i++) {
      senders.add(start(this::submitJobs));
    }
    for (int i = 0; i < ROUNDS; i++) {
      playRound();
    }
    stopped = true;
    for (Thread t : senders) {
      t.join();
    }
    int leader = deployment.leader();
    record.say("%d jobs accepted, leader is control %d", kept.size(), leader + 1);
    if (kept.isEmpty() || leader < 0) {
      return NOT_RUN;
    }
    deployment.terminateEdge(leader);
    deployment.startEdge(leader);
    Callers.pause(FINISH_MILLIS);
    int lost = 0;
    for (String path : kept) {
      String state = callers.state(path, 5_000);
      record.say("state of %s: \"%s\"", path, state);
      lost += isLost(state) ? 1 : 0;
    }
    version++;
    String last = Callers.configuration(version, SERVICE, routes());
    int acknowledged = callers.order(0, "PUT", "/config", last, ACK_MILLIS);
    record.say("last configuration: %d; lost jobs: %d of %d", acknowledged, lost, kept.size());
    return lost > 0 ? BROKEN : HELD;
  }

  /**
   * Removes the idle routes in two versions, and then adds other routes. The two removals are in
   * progress at the same time, at two control processes.
   */
  private void playRound() throws InterruptedException {
    Callers.pause(150);
    Thread first = removal(IDLE_ROUTES / 2, 0);
    if (!trouble) {
      first.join();
    }
    Thread second = removal(IDLE_ROUTES, 1);
    first.join();
    second.join();
    round++;
    version++;
    callers.order(2, "PUT", "/config", Callers.configuration(version, SERVICE, routes()), 10_000);
  }

  private Thread removal(int removed, int control) {
    version++;
    String c = Callers.configuration(version, SERVICE, routes(round, removed));
    return start(() -> callers.order(control, "PUT", "/config", c, 10_000));
  }

  private static Thread start(Runnable r) {
    Thread t = new Thread(r);
    t.start();
    return t;
  }

  /** Submits jobs that each need most of a minion's memory, so that nearly all of them wait. */
  private void submitJobs() {
    String body = Callers.job(1, 10, 60_000, 60_000, "").replace("\"MemMb\":16", "\"MemMb\":60000");
    while (!stopped) {
      int route = ThreadLocalRandom.current().nextInt(IDLE_ROUTES);
      callers.submit(prefix(round, route) + Callers.newJobId(), body, 1);
      Callers.pause(1_000 * SENDERS / JOBS_PER_SECOND);
    }
  }
}
