package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A stand-in minion, as PROTOCOL.md describes it under "Running tasks" and "Service discovery".
 * The text in Spec says what a task does: "ms=2000 end=failed" works for 2 s and then ends failed.
 */
final class Minion {
  private static final long MAX_HOLD_MILLIS = 1_000;
  private static final int MAX_LISTED_ENDS = 500;
  private static final Duration BEAT_INTERVAL = Duration.ofMillis(1_500);

  /** A run of a task: what the minion was told, and when it will end. */
  static final class Run {
    final String task;
    final long number;
    final String spec;
    final double startedAt;
    final long endsAtMillis;
    final boolean fails;
    double endedAt = Double.NaN;
    String how = "";

    Run(String task, long number, String spec, double startedAt, long endsAtMillis, boolean fails) {
      this.task = task;
      this.number = number;
      this.spec = spec;
      this.startedAt = startedAt;
      this.endsAtMillis = endsAtMillis;
      this.fails = fails;
    }
  }

  final String id;
  final String address;
  private final String service;
  private final String zone;
  private final long cpu;
  private final List<String> labels;
  private final String agentAddress;
  private final Record record;
  private final long born = System.currentTimeMillis();
  private final long zeroNanos = System.nanoTime();
  private final HttpServer server;
  private final ExecutorService threads;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Long> highestDead = new HashMap<>();
  private final TreeMap<Long, Run> ended = new TreeMap<>();
  private final List<Run> history = new ArrayList<>();
  private long lastEnd;
  private long fence;
  private long deadline;
  private long sequence;
  private volatile boolean closed;

  /** Status with which each start is refused without an effect; 0 while the minion is healthy. */
  volatile int refusingStatus;

  private long refusedStarts;

  Minion(
      String id,
      InetSocketAddress address,
      String service,
      String zone,
      long cpu,
      List<String> labels,
      String agentAddress,
      Record record)
      throws IOException {
    this.id = id;
    this.address = address.getAddress().getHostAddress() + ":" + address.getPort();
    this.service = service;
    this.zone = zone;
    this.cpu = cpu;
    this.labels = labels;
    this.agentAddress = agentAddress;
    this.record = record;
    threads = Executors.newCachedThreadPool(Rig::daemon);
    server = HttpServer.create(address, 64);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
    threads.execute(this::work);
    threads.execute(this::beat);
  }

  /** Returns the runs that this minion has ever begun. */
  synchronized List<Run> history() {
    return new ArrayList<>(history);
  }

  synchronized int runningCount() {
    return running.size();
  }

  synchronized long refusedStarts() {
    return refusedStarts;
  }

  void close() {
    closed = true;
    server.stop(0);
    threads.shutdownNow();
  }

  private long clock() {
    return 1_000 + (System.nanoTime() - zeroNanos) / 1_000_000;
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String path = exchange.getRequestURI().getPath();
      if (path.equals("/health")) {
        answer(exchange, 200, new LinkedHashMap<>());
        return;
      }
      String expected = exchange.getRequestHeaders().getFirst("Cassiastack-Expect-Instance");
      if (expected != null && !expected.equals(id)) {
        answer(exchange, 421, new LinkedHashMap<>());
        return;
      }
      Map<String, Object> call = Json.object(body);
      switch (path) {
        case "/run-start" -> start(exchange, call);
        case "/run-stop" -> stop(exchange, call);
        case "/hold" -> hold(exchange, call);
        default -> answer(exchange, 404, new LinkedHashMap<>());
      }
    } catch (RuntimeException e) {
      record.add("minion %s: unexpected %s", id, e);
      exchange.sendResponseHeaders(400, -1);
    }
  }

  private static void answer(HttpExchange exchange, int status, Map<String, Object> body)
      throws IOException {
    byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private static long number(Map<String, Object> call, String field) {
    return call.get(field) instanceof Number n ? n.longValue() : 0;
  }

  private Map<String, Object> reply(String reason) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("CurrentTimeMs", clock());
    if (!reason.isEmpty()) {
      body.put("Reason", reason);
    }
    return body;
  }

  private void start(HttpExchange exchange, Map<String, Object> call) throws IOException {
    if (refusingStatus != 0) {
      synchronized (this) {
        refusedStarts++;
        if (refusedStarts <= 20 || refusedStarts % 200 == 0) {
          record.add(
              "minion %s refuses start %d: %s with %d",
              id, refusedStarts, call.get("Task"), refusingStatus);
        }
      }
      answer(exchange, refusingStatus, new LinkedHashMap<>());
      return;
    }
    String refusal = begin(call);
    answer(exchange, refusal.isEmpty() ? 200 : 409, reply(refusal));
  }

  private synchronized String begin(Map<String, Object> call) {
    if (number(call, "Fence") < fence) {
      return "fence";
    }
    fence = number(call, "Fence");
    String task = (String) call.get("Task");
    long run = number(call, "Run");
    long now = clock();
    Run present = running.get(task);
    if (present != null && present.number == run) {
      return "";
    }
    long until = Math.min(number(call, "DeadlineMs"), now + MAX_HOLD_MILLIS);
    boolean old = run <= highestDead.getOrDefault(task, 0L) || present != null;
    if (old) {
      deadline = Math.max(deadline, until);
      return "old";
    }
    if (until <= now) {
      return "late";
    }
    deadline = Math.max(deadline, until);
    String spec = (String) call.get("Spec");
    Run r =
        new Run(
            task,
            run,
            spec,
            record.seconds(),
            now + Rig.specNumber(spec, "ms", 100),
            spec.contains("end=failed"));
    running.put(task, r);
    history.add(r);
    record.add("minion %s (%s) starts %s run %d", id, zone, task, run);
    return "";
  }

  private void stop(HttpExchange exchange, Map<String, Object> call) throws IOException {
    String refusal = "";
    synchronized (this) {
      if (number(call, "Fence") < fence) {
        refusal = "fence";
      } else {
        fence = number(call, "Fence");
        String task = (String) call.get("Task");
        long run = number(call, "Run");
        Run present = running.get(task);
        if (present != null && present.number <= run) {
          end(present, "stopped");
        }
        highestDead.merge(task, run, Math::max);
      }
    }
    answer(exchange, refusal.isEmpty() ? 200 : 409, reply(refusal));
  }

  private void hold(HttpExchange exchange, Map<String, Object> call) throws IOException {
    Map<String, Object> body;
    synchronized (this) {
      if (number(call, "Fence") < fence) {
        body = reply("fence");
      } else {
        fence = number(call, "Fence");
        ended.headMap(number(call, "AckedThrough"), true).clear();
        long now = clock();
        deadline =
            Math.max(deadline, Math.min(number(call, "DeadlineMs"), now + MAX_HOLD_MILLIS));
        long waitUntil = now + Math.min(2_000, number(call, "WaitMs"));
        while (ended.isEmpty() && clock() < waitUntil) {
          try {
            wait(Math.max(1, waitUntil - clock()));
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            break;
          }
        }
        body = lists();
      }
    }
    answer(exchange, body.containsKey("Reason") ? 409 : 200, body);
  }

  private Map<String, Object> lists() {
    Map<String, Object> body = reply("");
    body.put("born", born);
    List<Object> runningRows = new ArrayList<>();
    long now = clock();
    for (Run r : running.values()) {
      long length = Math.max(1, Rig.specNumber(r.spec, "ms", 100));
      long percent = Math.max(0, Math.min(99, 100 - (r.endsAtMillis - now) * 100 / length));
      runningRows.add(List.of(r.task, r.number, "", percent, Rig.specNumber(r.spec, "cpu", 0)));
    }
    List<Object> endedRows = new ArrayList<>();
    for (Map.Entry<Long, Run> e : ended.entrySet()) {
      if (endedRows.size() < MAX_LISTED_ENDS) {
        Run r = e.getValue();
        endedRows.add(List.of(e.getKey(), r.task, r.number, r.how, ""));
      }
    }
    body.put("Running", runningRows);
    body.put("Ended", endedRows);
    return body;
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    highestDead.merge(run.task, run.number, Math::max);
    run.how = how;
    run.endedAt = record.seconds();
    lastEnd++;
    ended.put(lastEnd, run);
    record.add("minion %s ends %s run %d %s as N=%d", id, run.task, run.number, how, lastEnd);
    notifyAll();
  }

  /** Ends the runs whose work is done, and all runs once the lease has expired. */
  private void work() {
    while (!closed) {
      synchronized (this) {
        long now = clock();
        boolean lapsed = now > deadline;
        for (Run r : new ArrayList<>(running.values())) {
          if (lapsed) {
            end(r, "lapsed");
          } else if (now >= r.endsAtMillis) {
            end(r, r.fails ? "failed" : "done");
          }
        }
      }
      Rig.sleep(5);
    }
  }

  private void beat() {
    while (!closed) {
      Map<String, Object> body = new LinkedHashMap<>();
      body.put("Service", service);
      body.put("Address", address);
      body.put("Zone", zone);
      body.put("Version", "v1");
      body.put("Slots", 8);
      body.put("State", "ready");
      body.put("ColdLeftMs", 0);
      Map<String, Object> capacity = new LinkedHashMap<>();
      capacity.put("Cpu", cpu);
      capacity.put("MemMb", 65_536);
      capacity.put("Gpu", 0);
      body.put("Capacity", capacity);
      body.put("Labels", labels);
      body.put("CurrentTimeMs", clock());
      body.put("Seq", ++sequence);
      body.put("born", born);
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + agentAddress + "/instances/" + id))
              .timeout(Duration.ofSeconds(1))
              .header("Content-Type", "application/json")
              .PUT(HttpRequest.BodyPublishers.ofString(Json.write(body)))
              .build();
      try {
        client.send(request, HttpResponse.BodyHandlers.ofString());
      } catch (IOException e) {
        // The agent is not there yet, or away; the next beat follows.
      } catch (InterruptedException e) {
        return;
      }
      Rig.sleep(BEAT_INTERVAL.toMillis());
    }
  }
}
