package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A sound minion as PROTOCOL.md describes it: it keeps the highest fence, holds all runs under one
 * lease, lists at most 500 ends at a time, and forgets them once they are acknowledged. It does not
 * guard its capacity. A task whose Spec is {@code ms=N} takes N milliseconds.
 */
final class StandInMinion implements AutoCloseable {
  static final long CPU = 32_000;
  static final long MEMORY_MB = 65_536;

  private static final int MAX_LISTED_ENDS = 500;
  private static final long MAX_HOLD_MILLIS = 1_000;
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long MAX_WAIT_MILLIS = 2_000;

  private final Record record;
  private final Runs runs;
  private final String id;
  private final String service;
  private final String zone;
  private final List<String> labels;
  private final String ip;
  private final int port;
  private final String heartbeatUri;
  private final long startNanos = System.nanoTime();
  private final long born = System.currentTimeMillis();
  private final HttpServer server;
  private final ExecutorService executor = Executors.newCachedThreadPool(StandInMinion::daemon);

  private final Map<String, Running> running = new LinkedHashMap<>();
  private final TreeMap<Long, Ended> ended = new TreeMap<>();
  private final Map<String, Long> highestGone = new HashMap<>();
  private long lastEnd;
  private long fence;
  private long deadlineMillis;
  private long sequence;
  private volatile boolean closed;

  private StandInMinion(
      Record record,
      Runs runs,
      String id,
      String service,
      String zone,
      List<String> labels,
      Deployment deployment,
      String ip)
      throws IOException {
    this.record = record;
    this.runs = runs;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.labels = labels;
    this.ip = ip;
    this.port = deployment.minionPort();
    this.heartbeatUri = "http://" + ip + ":" + deployment.controlPort() + "/instances/" + id;
    this.server = HttpServer.create(new InetSocketAddress(ip, port), 64);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
  }

  /** Starts a minion on a side machine. */
  static StandInMinion start(
      Record record,
      Runs runs,
      Deployment deployment,
      int side,
      String service,
      List<String> labels)
      throws IOException {
    StandInMinion m =
        new StandInMinion(
            record,
            runs,
            String.format("i-%08x", 0x7f3a9000L + side),
            service,
            Deployment.zone(side),
            labels,
            deployment,
            deployment.sideIp(side));
    m.server.start();
    m.executor.execute(m::beat);
    m.executor.execute(m::advance);
    return m;
  }

  String id() {
    return id;
  }

  @Override
  public void close() {
    closed = true;
    server.stop(0);
    executor.shutdownNow();
  }

  /** Returns the number of tasks that run. */
  synchronized int runningTasks() {
    return running.size();
  }

  private static Thread daemon(Runnable r) {
    Thread t = new Thread(r, "minion");
    t.setDaemon(true);
    return t;
  }

  private long clockMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void beat() {
    while (!closed) {
      ObjectNode b = Http.JSON.createObjectNode();
      b.put("Service", service).put("Address", ip + ":" + port).put("Zone", zone);
      b.put("Version", "v1").put("Slots", 8).put("State", "ready").put("ColdLeftMs", 0);
      b.putObject("Capacity").put("Cpu", CPU).put("MemMb", MEMORY_MB).put("Gpu", 0);
      ArrayNode l = b.putArray("Labels");
      labels.forEach(l::add);
      sequence++;
      b.put("CurrentTimeMs", clockMillis()).put("Seq", sequence).put("born", born);
      int status = Http.send("PUT", heartbeatUri, null, b.toString(), 1_000).status();
      pause(status == 200 ? HEARTBEAT_MILLIS : 300);
    }
  }

  /** Ends tasks whose work is done, and all tasks once the lease has run out. */
  private void advance() {
    while (!closed) {
      synchronized (this) {
        long now = clockMillis();
        boolean lapsed = now > deadlineMillis;
        for (Running r : List.copyOf(running.values())) {
          if (now >= r.endsAt && r.endsAt <= deadlineMillis) {
            end(r, "done");
          } else if (lapsed) {
            end(r, "lapsed");
          }
        }
      }
      pause(1);
    }
  }

  private void end(Running r, String how) {
    running.remove(r.task);
    highestGone.merge(r.task, r.run, Math::max);
    lastEnd++;
    ended.put(lastEnd, new Ended(lastEnd, r.task, r.run, how));
    runs.ended(id, lastEnd, r.task, r.run, how);
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      JsonNode body = Http.JSON.readTree(exchange.getRequestBody().readAllBytes());
      String expected = exchange.getRequestHeaders().getFirst("Cassiastack-Expect-Instance");
      if (expected != null && !expected.equals(id)) {
        reply(exchange, 421, Http.JSON.createObjectNode());
        return;
      }
      ObjectNode answer = Http.JSON.createObjectNode();
      int status;
      synchronized (this) {
        status =
            switch (exchange.getRequestURI().getPath()) {
              case "/run-start" -> start(body, answer);
              case "/run-stop" -> stop(body, answer);
              case "/hold" -> hold(body, answer);
              default -> 404;
            };
        answer.put("CurrentTimeMs", clockMillis());
        answer.put("born", born);
      }
      reply(exchange, status, answer);
    }
  }

  private static void reply(HttpExchange exchange, int status, ObjectNode answer)
      throws IOException {
    byte[] bytes = Http.JSON.writeValueAsBytes(answer);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private boolean hasLowerFence(JsonNode body) {
    long f = body.path("Fence").asLong(0);
    if (f < fence) {
      return true;
    }
    fence = f;
    return false;
  }

  private void extend(JsonNode body) {
    long asked = body.path("DeadlineMs").asLong(0);
    deadlineMillis = Math.max(deadlineMillis, Math.min(asked, clockMillis() + MAX_HOLD_MILLIS));
  }

  private int refuse(ObjectNode answer, String reason) {
    answer.put("Reason", reason);
    return 409;
  }

  private int start(JsonNode body, ObjectNode answer) {
    if (hasLowerFence(body)) {
      return refuse(answer, "fence");
    }
    String task = body.path("Task").asText();
    long run = body.path("Run").asLong();
    Running present = running.get(task);
    if (present != null && present.run == run) {
      extend(body);
      return 200;
    }
    if (body.path("DeadlineMs").asLong() <= clockMillis()) {
      return refuse(answer, "late");
    }
    extend(body);
    if (run <= highestGone.getOrDefault(task, 0L) || (present != null && run < present.run)) {
      return refuse(answer, "old");
    }
    String spec = body.path("Spec").asText();
    long millis = Long.parseLong(spec.substring(spec.indexOf("ms=") + 3).split("\\D", 2)[0]);
    running.put(task, new Running(task, run, clockMillis(), clockMillis() + millis));
    runs.started(id, zone, task, run);
    return 200;
  }

  private int stop(JsonNode body, ObjectNode answer) {
    if (hasLowerFence(body)) {
      return refuse(answer, "fence");
    }
    String task = body.path("Task").asText();
    long run = body.path("Run").asLong();
    Running present = running.get(task);
    if (present != null && present.run == run) {
      end(present, "stopped");
    }
    highestGone.merge(task, run, Math::max);
    return 200;
  }

  private int hold(JsonNode body, ObjectNode answer) {
    if (hasLowerFence(body)) {
      return refuse(answer, "fence");
    }
    long acknowledged = body.path("AckedThrough").asLong(0);
    for (Ended e : ended.headMap(acknowledged, true).values()) {
      runs.acknowledged(id, e.number, e.task, e.run);
    }
    ended.headMap(acknowledged, true).clear();
    extend(body);
    long until = clockMillis() + Math.min(MAX_WAIT_MILLIS, body.path("WaitMs").asLong(0));
    try {
      while (ended.isEmpty() && clockMillis() < until) {
        wait(Math.max(1, until - clockMillis()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    ArrayNode runningRows = answer.putArray("Running");
    long now = clockMillis();
    for (Running r : running.values()) {
      long percent = 100 * (now - r.startedAt) / Math.max(1, r.endsAt - r.startedAt);
      runningRows.addArray().add(r.task).add(r.run).add("").add(Math.min(99, percent));
    }
    ArrayNode endedRows = answer.putArray("Ended");
    List<Ended> listed = new ArrayList<>(ended.values());
    for (Ended e : listed.subList(0, Math.min(MAX_LISTED_ENDS, listed.size()))) {
      endedRows.addArray().add(e.number).add(e.task).add(e.run).add(e.how).add("");
    }
    if (listed.size() > MAX_LISTED_ENDS) {
      record.line("minion %s has %d ends, lists %d", id, listed.size(), MAX_LISTED_ENDS);
    }
    return 200;
  }

  private void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      closed = true;
    }
  }

  private static final class Running {
    final String task;
    final long run;
    final long startedAt;
    final long endsAt;

    Running(String task, long run, long startedAt, long endsAt) {
      this.task = task;
      this.run = run;
      this.startedAt = startedAt;
      this.endsAt = endsAt;
    }
  }

  private static final class Ended {
    final long number;
    final String task;
    final long run;
    final String how;

    Ended(long number, String task, long run, String how) {
      this.number = number;
      this.task = task;
      this.run = run;
      this.how = how;
    }
  }
}
