package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients and the operator of a deployment. They retry as PROTOCOL.md says. */
final class Callers {
  static final String HOST = "desk.example";

  private static final int CLIENT_TIMEOUT_MILLIS = 1_500;
  private static final int OPERATOR_TIMEOUT_MILLIS = 1_000;

  private final Record record;
  private final Deployment deployment;
  private final AtomicInteger turn = new AtomicInteger();

  Callers(Record record, Deployment deployment) {
    this.record = record;
    this.deployment = deployment;
  }

  static String newJobId() {
    return String.format("%016x", ThreadLocalRandom.current().nextLong());
  }

  /** Returns the body of a job of one step whose tasks take a time. */
  static String job(int count, int cpu, int estimateMillis, int millis, String more) {
    return String.format(
        Locale.ROOT,
        "{\"Spec\":\"ms=%d\",\"Steps\":[{\"Count\":%d,\"Cpu\":%d,\"MemMb\":16,\"EstRuntimeMs\":%d%s}]}",
        millis,
        count,
        cpu,
        estimateMillis,
        more);
  }

  /** Returns a route, which is a queue. */
  static String route(String name, String prefix, String service, int priority, int timeoutMillis) {
    return String.format(
        Locale.ROOT,
        "{\"Name\":\"%s\",\"Host\":\"%s\",\"PathPrefix\":\"%s\",\"Kind\":\"non_idempotent\","
            + "\"TimeoutMs\":%d,\"TargetLatencyMs\":60,\"Priority\":%d,\"Service\":\"%s\","
            + "\"MaxAttempts\":2,\"Stretch\":1.6}",
        name,
        HOST,
        prefix,
        timeoutMillis,
        priority,
        service);
  }

  /** Returns a configuration with one service. */
  static String configuration(long version, String service, List<String> routes) {
    return String.format(
        Locale.ROOT,
        "{\"Version\":%d,\"Routes\":[%s],\"Services\":[{\"Name\":\"%s\",\"HealthPath\":\"/health\","
            + "\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,"
            + "\"ColdPerS\":0.0,\"EnforcesCapacity\":false,\"Standby\":false}],\"Limits\":"
            + "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
            + "\"IdleTimeoutMs\":15000}}",
        version,
        String.join(",", routes),
        service);
  }

  /** Makes one call of a client at an entry. */
  Http.Answer callEntry(int entry, String method, String path, String body, int timeoutMillis) {
    String uri = "http://" + deployment.edgeIp(entry) + ":" + deployment.frontPort() + path;
    Http.Answer a = Http.send(method, uri, HOST, body, timeoutMillis);
    record.line("client %s %s entry=%d -> %d %s", method, path, entry + 1, a.status(), a.body());
    return a;
  }

  /**
   * Submits a job. After no answer, a 502 or a 504 the same job is sent again, to another entry.
   *
   * @return the last status
   */
  int submit(String path, String body, int attempts) {
    int status = 0;
    for (int i = 0; i < attempts; i++) {
      int entry = turn.getAndIncrement() % Deployment.EDGES;
      status = callEntry(entry, "POST", path, body, CLIENT_TIMEOUT_MILLIS).status();
      if (status != 0 && status != 502 && status != 504) {
        return status;
      }
      pause(200);
    }
    return status;
  }

  /** Returns the state of a job, or an empty text if no entry answers with one in time. */
  String state(String path, int patienceMillis) {
    long end = System.nanoTime() + patienceMillis * 1_000_000L;
    do {
      int entry = turn.getAndIncrement() % Deployment.EDGES;
      Http.Answer a = callEntry(entry, "GET", path, null, CLIENT_TIMEOUT_MILLIS);
      if (a.status() == 200) {
        return a.field("State");
      }
      if (a.status() == 410 || a.status() == 404) {
        return Integer.toString(a.status());
      }
      pause(100);
    } while (System.nanoTime() < end);
    return "";
  }

  /** Makes one call of the operator at a control process. */
  Http.Answer callControl(int control, String method, String path, String body) {
    String uri = "http://" + deployment.edgeIp(control) + ":" + deployment.controlPort() + path;
    Http.Answer a = Http.send(method, uri, null, body, OPERATOR_TIMEOUT_MILLIS);
    String content = path.equals("/config") ? version(a.body()) : a.body();
    record.line(
        "operator %s %s %s control=%d -> %d %s",
        method, path, body == null ? "" : version(body), control + 1, a.status(), content);
    return a;
  }

  /**
   * Sends an order until it is acknowledged or finally refused, to another control process after
   * each failure.
   *
   * @param first the control process that gets the order first
   * @return the last status
   */
  int order(int first, String method, String path, String body, int patienceMillis) {
    long end = System.nanoTime() + patienceMillis * 1_000_000L;
    int control = first;
    int backoff = 50;
    while (true) {
      int status = callControl(control, method, path, body).status();
      boolean isFinal = status / 100 == 2 || (status / 100 == 4 && status != 408 && status != 429);
      if (isFinal || System.nanoTime() >= end) {
        return status;
      }
      control = (control + 1) % Deployment.EDGES;
      pause(backoff);
      backoff = Math.min(400, 2 * backoff);
    }
  }

  /** Waits until each entry is ready to take requests. */
  boolean awaitReady(int patienceMillis) {
    long end = System.nanoTime() + patienceMillis * 1_000_000L;
    List<Integer> waiting = new ArrayList<>(List.of(0, 1, 2));
    while (!waiting.isEmpty() && System.nanoTime() < end) {
      waiting.removeIf(
          i ->
              Http.send(
                          "GET",
                          "http://"
                              + deployment.edgeIp(i)
                              + ":"
                              + deployment.readyPort()
                              + "/ready",
                          null,
                          null,
                          1_000)
                      .status()
                  == 200);
      pause(100);
    }
    return waiting.isEmpty();
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String version(String body) {
    int at = body.indexOf("\"Version\":");
    return at < 0 ? "" : "version " + body.substring(at + 10).split("\\D", 2)[0];
  }
}
