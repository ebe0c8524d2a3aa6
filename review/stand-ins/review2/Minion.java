package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in minion: runs tasks as ordered, under a lease, lists runs and ends, and announces
 * itself to its agent. A task of step N runs for the N-th of the milliseconds in the spec
 * "ms=A,B,...", and then ends as done, or as failed if the spec begins with "fail".
 */
final class Minion implements AutoCloseable {
  private static final long MAX_LEASE_MILLIS = 1_000;
  private static final long MAX_WAIT_MILLIS = 2_000;
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final Pattern STRING = Pattern.compile("\"(\\w+)\"\\s*:\\s*\"([^\"]*)\"");
  private static final Pattern NUMBER = Pattern.compile("\"(\\w+)\"\\s*:\\s*(-?\\d+)");

  final String id;
  final String service;
  final String zone;
  final int milliCpu;
  final long born = System.currentTimeMillis();
  private final InetSocketAddress address;
  private final InetSocketAddress agent;
  private final Runs runs;
  private final Record record;
  private final long startedNanos = System.nanoTime();
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(Minion::daemon);

  private final Map<String, Active> active = new LinkedHashMap<>();
  private final List<Ended> ended = new ArrayList<>();
  private final Map<String, Long> highestEnded = new HashMap<>();
  private long fence;
  private long deadline;
  private long acknowledgedThrough;
  private long lastEnd;
  private long sequence;
  private boolean draining;
  private volatile boolean down;

  private static final class Active {
    final Runs.Run run;
    final long startedMillis;
    final long workMillis;
    final String outcome;

    Active(Runs.Run run, long startedMillis, long workMillis, String outcome) {
      this.run = run;
      this.outcome = outcome;
      this.startedMillis = startedMillis;
      this.workMillis = workMillis;
    }
  }

  private record Ended(long number, Runs.Run run, String how) {}

  Minion(
      String id,
      String service,
      String zone,
      int milliCpu,
      InetSocketAddress address,
      InetSocketAddress agent,
      Runs runs,
      Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.milliCpu = milliCpu;
    this.address = address;
    this.agent = agent;
    this.runs = runs;
    this.record = record;
    this.server = HttpServer.create(address, 64);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
    threads.execute(this::heartbeats);
    threads.execute(this::advance);
  }

  private static Thread daemon(Runnable work) {
    Thread thread = new Thread(work, "minion");
    thread.setDaemon(true);
    return thread;
  }

  private long clock() {
    return (System.nanoTime() - startedNanos) / 1_000_000;
  }

  /** The body of an announcement, as a minion sends it. */
  synchronized String announcement(String itsService, long itsSequence, long itsBorn) {
    return String.format(
        "{\"Service\":\"%s\",\"Address\":\"%s:%d\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":8,"
            + "\"State\":\"%s\",\"ColdLeftMs\":0,\"Capacity\":{\"Cpu\":%d,\"MemMb\":65536,"
            + "\"Gpu\":0},\"Labels\":[\"a\",\"r1-1\"],\"CurrentTimeMs\":%d,\"Seq\":%d,\"born\":%d}",
        itsService,
        address.getAddress().getHostAddress(),
        address.getPort(),
        zone,
        draining ? "draining" : "ready",
        milliCpu,
        clock(),
        itsSequence,
        itsBorn);
  }

  private void heartbeats() {
    while (!down) {
      String body;
      synchronized (this) {
        sequence++;
        body = announcement(service, sequence, born);
      }
      Http.Answer answer = Http.call(agent, "PUT", "/instances/" + id, "agent", "", body, 1_000);
      if (answer.status() != 200 && !down) {
        record.line("HEARTBEAT %s seq %d: %s", id, sequence, answer);
      }
      sleep(HEARTBEAT_MILLIS);
    }
  }

  /** Ends the runs whose work is done or whose lease has lapsed. */
  private void advance() {
    while (!down) {
      synchronized (this) {
        long now = clock();
        for (Active a : List.copyOf(active.values())) {
          if (now > deadline) {
            end(a, "lapsed");
          } else if (now - a.startedMillis >= a.workMillis) {
            end(a, a.outcome);
          }
        }
      }
      sleep(2);
    }
  }

  private void end(Active a, String how) {
    active.remove(a.run.task + "#" + a.run.number);
    highestEnded.merge(a.run.task, a.run.number, Math::max);
    lastEnd++;
    ended.add(new Ended(lastEnd, a.run, how));
    runs.end(a.run, how);
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Map<String, String> fields = fields(body);
    String expected = exchange.getRequestHeaders().getFirst("Cassiastack-Expect-Instance");
    int status;
    String answer;
    synchronized (this) {
      if (down) {
        exchange.close();
        return;
      }
      String reason = "";
      if (expected != null && !expected.equals(id)) {
        status = 421;
      } else {
        reason =
            switch (exchange.getRequestURI().getPath()) {
              case "/run-start" -> start(fields);
              case "/run-stop" -> stop(fields);
              case "/hold" -> hold(fields);
              default -> "";
            };
        status = reason.isEmpty() ? 200 : 409;
      }
      boolean lists = status == 200 && exchange.getRequestURI().getPath().equals("/hold");
      answer =
          "{\"CurrentTimeMs\":"
              + clock()
              + ",\"born\":"
              + born
              + (lists ? lists() : "")
              + (reason.isEmpty() ? "" : ",\"Reason\":\"" + reason + "\"")
              + "}";
    }
    byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private static Map<String, String> fields(String body) {
    Map<String, String> fields = new HashMap<>();
    for (Pattern p : List.of(STRING, NUMBER)) {
      for (Matcher m = p.matcher(body); m.find(); ) {
        fields.put(m.group(1), m.group(2));
      }
    }
    return fields;
  }

  private static long number(Map<String, String> fields, String name) {
    return Long.parseLong(fields.getOrDefault(name, "0"));
  }

  private boolean isFenced(Map<String, String> fields) {
    long its = number(fields, "Fence");
    if (its < fence) {
      return true;
    }
    fence = its;
    return false;
  }

  private void extend(Map<String, String> fields) {
    long until = Math.min(number(fields, "DeadlineMs"), clock() + MAX_LEASE_MILLIS);
    deadline = Math.max(deadline, until);
  }

  private String start(Map<String, String> fields) {
    if (isFenced(fields)) {
      return "fence";
    }
    String task = fields.getOrDefault("Task", "");
    long number = number(fields, "Run");
    if (active.containsKey(task + "#" + number)) {
      return "";
    }
    if (number(fields, "DeadlineMs") <= clock()) {
      return "late";
    }
    extend(fields);
    if (number <= highestEnded.getOrDefault(task, 0L)) {
      return "old";
    }
    String spec = fields.getOrDefault("Spec", "");
    String[] millis = spec.substring(spec.indexOf('=') + 1).split(",");
    int step = Integer.parseInt(task.split("\\.")[2]);
    long work = Long.parseLong(millis[Math.min(step, millis.length - 1)].trim());
    Runs.Run run = runs.begin(task, number, id);
    String outcome = spec.startsWith("fail") ? "failed" : "done";
    active.put(task + "#" + number, new Active(run, clock(), work, outcome));
    return "";
  }

  private String stop(Map<String, String> fields) {
    if (isFenced(fields)) {
      return "fence";
    }
    String task = fields.getOrDefault("Task", "");
    long number = number(fields, "Run");
    Active a = active.get(task + "#" + number);
    if (a != null) {
      end(a, "stopped");
    } else {
      highestEnded.merge(task, number, Math::max);
    }
    return "";
  }

  private String hold(Map<String, String> fields) {
    if (isFenced(fields)) {
      return "fence";
    }
    acknowledgedThrough = Math.max(acknowledgedThrough, number(fields, "AckedThrough"));
    for (Iterator<Ended> i = ended.iterator(); i.hasNext(); ) {
      if (i.next().number <= acknowledgedThrough) {
        i.remove();
      }
    }
    if (fields.containsKey("DeadlineMs")) {
      extend(fields);
    }
    long until = clock() + Math.min(number(fields, "WaitMs"), MAX_WAIT_MILLIS);
    long lastEndBefore = lastEnd;
    while (lastEnd == lastEndBefore && clock() < until && !down) {
      try {
        wait(Math.max(1, until - clock()));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    return "";
  }

  private String lists() {
    StringBuilder text = new StringBuilder(",\"Running\":[");
    String comma = "";
    for (Active a : active.values()) {
      long percent = a.workMillis == 0 ? 100 : 100 * (clock() - a.startedMillis) / a.workMillis;
      text.append(comma)
          .append(
              String.format(
                  "[\"%s\",%d,\"\",%d,1000]", a.run.task, a.run.number, Math.min(100, percent)));
      comma = ",";
    }
    text.append("],\"Ended\":[");
    comma = "";
    for (Ended e : ended.subList(0, Math.min(500, ended.size()))) {
      text.append(comma)
          .append(
              String.format(
                  "[%d,\"%s\",%d,\"%s\",\"\"]", e.number, e.run.task, e.run.number, e.how));
      comma = ",";
    }
    return text.append("]").toString();
  }

  /** Ends the minion and all its runs at once, for good, without a word to anyone. */
  void crash() {
    down = true;
    synchronized (this) {
      for (Active a : List.copyOf(active.values())) {
        active.remove(a.run.task + "#" + a.run.number);
        runs.end(a.run, "lost");
      }
      notifyAll();
    }
    server.stop(0);
    record.line("CRASH %s", id);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    down = true;
    server.stop(0);
    threads.shutdownNow();
  }
}
