package review;

import java.util.ArrayList;
import java.util.List;

/**
 * The configuration grows by many routes and is changed hundreds of times. Then two edge machines
 * are restarted as planned, one after the other. Accepted jobs must still be known.
 */
final class LongLog extends Trial {
  private static final int MORE_ROUTES = 350;
  private static final int CHANGES = 900;
  private static final int CATCH_UP_MILLIS = 4_000;
  private static final int CONTACT_MILLIS = 3_000;
  private static final int FINISH_MILLIS = 14_000;
  private static final int ACK_MILLIS = 4_000;
  private static final String MAIN = "/main/";

  public static void main(String[] arguments) {
    run(new LongLog(), arguments);
  }

  @Override
  int sides() {
    return 2;
  }

  @Override
  List<String> routes() {
    return List.of(Callers.route("r-main", MAIN, SERVICE, 1, 1_500));
  }

  private List<String> manyRoutes(int timeoutMillis) {
    List<String> routes = new ArrayList<>(routes());
    for (int i = 0; i < MORE_ROUTES; i++) {
      String name = String.format("r-3hwrr6x%03d", i);
      routes.add(Callers.route(name, "/lohu" + i + "/", SERVICE, 1, timeoutMillis));
    }
    return routes;
  }

  @Override
  int play() throws Exception {
    List<String> kept = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      String path = MAIN + Callers.newJobId();
      if (callers.submit(path, Callers.job(1, 100, 60_000, 90_000, ""), 5) == 200) {
        kept.add(path);
      }
    }
    int acknowledged = 0;
    for (int version = 2; version < CHANGES + 2; version++) {
      String c = Callers.configuration(version, SERVICE, manyRoutes(1_500 + version));
      int control = version % Deployment.EDGES;
      acknowledged += callers.order(control, "PUT", "/config", c, ACK_MILLIS) == 200 ? 1 : 0;
    }
    record.say(
        "%d jobs accepted, %d of %d changes acknowledged", kept.size(), acknowledged, CHANGES);
    if (trouble) {
      int leader = deployment.leader();
      restart((leader + 1) % Deployment.EDGES);
      restart((leader + 2) % Deployment.EDGES);
    }
    Callers.pause(FINISH_MILLIS);
    int lost = 0;
    for (String path : kept) {
      String state = callers.state(path, 4_000);
      record.say("state of %s: \"%s\"", path, state);
      lost += isLost(state) ? 1 : 0;
    }
    String last = Callers.configuration(CHANGES + 10, SERVICE, routes());
    int status = callers.order(0, "PUT", "/config", last, ACK_MILLIS);
    for (int i = 0; i < Deployment.EDGES; i++) {
      record.say("control %d has ended by itself %d times", i + 1, deployment.control(i).ownEnds());
    }
    record.say("last configuration: %d; lost jobs: %d of %d", status, lost, kept.size());
    return lost > 0 ? BROKEN : HELD;
  }

  /** Restarts an edge machine as planned, and leaves it the time to catch up. */
  private void restart(int edge) throws Exception {
    deployment.terminateEdge(edge);
    deployment.startEdge(edge);
    Callers.pause(CATCH_UP_MILLIS + CONTACT_MILLIS);
  }
}
