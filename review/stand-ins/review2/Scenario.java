package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.FutureTask;
import java.util.function.BooleanSupplier;

/** A small deployment with stand-in clients, minions and operator, on which a case is played. */
final class Scenario implements AutoCloseable {
  static final String SERVICE = "huvo11a";
  static final String HOST = "nony24.example";
  static final String PREFIX = "/lohu930/";
  static final int MILLI_CPU = 16_000;

  /** Distance between the inner ports of most machines and those of machines behind proxies. */
  private static final int SHIFT = 20;

  /** The order of events of a case. Returns whether the rule was broken. */
  interface Play {
    boolean on(Scenario scenario, boolean trouble) throws Exception;
  }

  final Record record;
  final Deployment deployment;
  final Runs runs;
  final List<Deployment.Machine> controls = new ArrayList<>();
  final List<Deployment.Machine> edges = new ArrayList<>();
  final List<Deployment.Machine> sides = new ArrayList<>();
  final List<Process> controlProcesses = new ArrayList<>();
  final List<Minion> minions = new ArrayList<>();
  final List<AutoCloseable> others = new ArrayList<>();
  private final Map<Deployment.Machine, Process> entries = new HashMap<>();
  private int shiftedSide = -1;
  private long lastJob = System.currentTimeMillis();

  private Scenario(Path root, Record record) throws IOException {
    this.record = record;
    this.deployment = Deployment.create(root, record);
    this.runs = new Runs(record);
  }

  /** Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
  static void main(String[] arguments, Play play) throws IOException {
    Path folder = Path.of(arguments[0]).toAbsolutePath();
    Path root = folder.resolve("../..").normalize();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Record record = Record.to(folder.resolve("record.txt"))) {
      record.line("TROUBLE=%s", trouble ? "1" : "0");
      try (Scenario scenario = new Scenario(root, record)) {
        Runtime.getRuntime().addShutdownHook(new Thread(scenario.deployment::close));
        boolean broken = play.on(scenario, trouble);
        status = broken ? 1 : 0;
        record.line(broken ? "RULE BROKEN" : "RULE HELD");
      } catch (Exception e) {
        record.line("COULD NOT RUN: %s", e);
      }
    }
    Runtime.getRuntime().halt(status);
  }

  /**
   * Puts a proxy before the inner port of each control machine, for the machines whose inner ports
   * are shifted: these reach the control machines through the proxies only.
   */
  List<Proxy> proxyControlLinks() throws IOException {
    List<Proxy> links = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      Proxy p =
          Proxy.start(
              Deployment.address(deployment.ip(1, i), deployment.innerPort() + SHIFT),
              Deployment.address(deployment.ip(1, i), deployment.innerPort()));
      links.add(p);
      others.add(p);
    }
    return links;
  }

  /** Names the side machine whose inner ports are shifted. */
  void shiftSide(int index) {
    shiftedSide = index;
  }

  /** Kills the entry process of an edge machine without a disk. */
  void killEntry(Deployment.Machine m) {
    Process entry = entries.get(m);
    if (entry != null) {
      entry.destroyForcibly();
      record.line("KILL entry on %s", m.ip());
    }
  }

  /** Returns whether two runs of one task of a job were at work at the same time. */
  boolean hasTwoRuns(String job) {
    List<Runs.Run> all = runs.ofJob(job);
    boolean found = false;
    for (int i = 0; i < all.size(); i++) {
      for (int j = i + 1; j < all.size(); j++) {
        Runs.Run a = all.get(i);
        Runs.Run b = all.get(j);
        double overlap =
            Math.min(Math.min(a.endedAt, b.endedAt), record.now()) - b.startedAt;
        if (a.task.equals(b.task) && overlap > 0) {
          record.line("TWO RUNS for %.3f s: %s, %s", overlap, a, b);
          found = true;
        }
      }
    }
    return found;
  }

  /**
   * Starts three machines with a disk, further edge machines without one, and side machines with a
   * minion each, waits until they are ready, and stores the first configuration.
   */
  void start(int disklessEdges, int sideCount, int shiftedEdge) throws Exception {
    startProcesses(disklessEdges, sideCount, shiftedEdge);
    await("all entries are ready", 30, () -> edges.stream().allMatch(this::isReady) || pause());
    await("the configuration is acknowledged", 20, () -> putConfiguration(1) || pause());
    // Twice the heartbeat interval: by then every minion has announced itself to its agent.
    sleep(4_000);
  }

  /** Starts the processes and the minions for the first time. */
  void startProcesses(int disklessEdges, int sideCount, int shiftedEdge) throws Exception {
    String[] zones = {"almaty-a", "almaty-b", "almaty-c"};
    for (int i = 0; i < 3; i++) {
      controls.add(machine(1, i + 1, zones[i], true, deployment.innerPort()));
    }
    for (int i = 0; i < disklessEdges; i++) {
      int inner = deployment.innerPort() + (i == shiftedEdge ? SHIFT : 0);
      edges.add(machine(2, i + 1, zones[i % 3], false, inner));
    }
    for (int i = 0; i < sideCount; i++) {
      int inner = deployment.innerPort() + (i == shiftedSide ? SHIFT : 0);
      sides.add(machine(3, i + 1, zones[i % 3], false, inner));
    }
    deployment.setSeeds(controls);
    for (Deployment.Machine m : controls) {
      controlProcesses.add(deployment.start("control", m));
      deployment.start("entry", m);
    }
    for (Deployment.Machine m : edges) {
      entries.put(m, deployment.start("entry", m));
    }
    for (Deployment.Machine m : sides) {
      deployment.start("agent", m);
    }
    for (int i = 0; i < sideCount; i++) {
      Deployment.Machine m = sides.get(i);
      minions.add(
          new Minion(
              "i-" + (i + 1),
              SERVICE,
              m.zone(),
              MILLI_CPU,
              Deployment.address(m.ip(), deployment.appPort()),
              Deployment.address(m.ip(), deployment.controlPort()),
              runs,
              record));
    }
  }

  private Deployment.Machine machine(int part, int number, String zone, boolean disk, int inner) {
    Deployment.Machine m =
        new Deployment.Machine(deployment.ip(part, number), zone, disk, inner);
    if (!deployment.isFree(m)) {
      throw new IllegalStateException("a port of " + m.ip() + " is in use");
    }
    return m;
  }

  private boolean isReady(Deployment.Machine m) {
    InetSocketAddress ready = Deployment.address(m.ip(), deployment.readyPort());
    return Http.call(ready, "GET", "/ready", "platform", "", "", 1_000).status() == 200;
  }

  boolean putConfiguration(int version) {
    return putConfiguration(version, controls.get(0));
  }

  /** Sends the configuration to a control machine; returns whether it was acknowledged. */
  boolean putConfiguration(int version, Deployment.Machine to) {
    String body =
        "{\"Version\":"
            + version
            + ",\"Routes\":[{\"Name\":\"r-3hwrr6x\",\"Host\":\""
            + HOST
            + "\",\"PathPrefix\":\""
            + PREFIX
            + "\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"TargetLatencyMs\":60,"
            + "\"Priority\":0,\"Service\":\""
            + SERVICE
            + "\",\"MaxAttempts\":2,\"Stretch\":1.6}],\"Services\":[{\"Name\":\""
            + SERVICE
            + "\",\"HealthPath\":\"/health\",\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,"
            + "\"ColdStartS\":0.0,\"ColdPerS\":0.0,\"EnforcesCapacity\":false,\"Standby\":false}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
            + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    InetSocketAddress control = Deployment.address(to.ip(), deployment.controlPort());
    Http.Answer answer = Http.call(control, "PUT", "/config", "control", "", body, 1_000);
    record.line("PUT /config version %d at %s: %s", version, to.ip(), answer);
    return answer.status() == 200;
  }

  /** Reads the configuration from a control machine; returns whether it came. */
  boolean readConfiguration(Deployment.Machine from) {
    InetSocketAddress control = Deployment.address(from.ip(), deployment.controlPort());
    Http.Answer answer = Http.call(control, "GET", "/config", "control", "", "", 1_000);
    record.line("GET /config at %s: %s", from.ip(), answer);
    return answer.status() == 200;
  }

  /** Returns an id that no job has used. */
  synchronized String newJobId() {
    lastJob++;
    return String.format("%016x", lastJob * 1_000_003);
  }

  /** Calls an entry as a client does, with the path after the prefix of the route. */
  Http.Answer client(
      Deployment.Machine entry, String method, String path, String body, int deadlineMillis) {
    record.line("CLIENT %s %s%s at %s sent", method, PREFIX, path, entry.ip());
    Http.Answer answer =
        Http.call(
            Deployment.address(entry.ip(), deployment.frontPort()),
            method,
            PREFIX + path,
            HOST,
            "Cassiastack-Deadline-Ms: " + deadlineMillis + "\r\n",
            body,
            deadlineMillis);
    record.line("CLIENT %s %s%s at %s answered: %s", method, PREFIX, path, entry.ip(), answer);
    return answer;
  }

  /** Body of a job of steps with one task each; each step follows the one before it. */
  static String chain(boolean bestEffort, int milliCpu, int... stepMillis) {
    StringBuilder spec = new StringBuilder("ms=");
    StringBuilder steps = new StringBuilder();
    for (int i = 0; i < stepMillis.length; i++) {
      spec.append(i == 0 ? "" : ",").append(stepMillis[i]);
      steps
          .append(i == 0 ? "" : ",")
          .append("{\"Count\":1,\"Cpu\":")
          .append(milliCpu)
          .append(",\"MemMb\":64,\"EstRuntimeMs\":")
          .append(stepMillis[i])
          .append(i == 0 ? "}" : ",\"After\":[" + (i - 1) + "]}");
    }
    return "{\"Spec\":\""
        + spec
        + "\",\"Steps\":["
        + steps
        + "]"
        + (bestEffort ? ",\"BestEffort\":true" : "")
        + "}";
  }

  /** Body of a stored job of one step. */
  static String step(int count, int milliCpu, int millis, boolean fails) {
    return "{\"Spec\":\""
        + (fails ? "fail " : "")
        + "ms="
        + millis
        + "\",\"Steps\":[{\"Count\":"
        + count
        + ",\"Cpu\":"
        + milliCpu
        + ",\"MemMb\":64,\"EstRuntimeMs\":"
        + millis
        + "}]}";
  }

  void await(String what, int seconds, BooleanSupplier condition) throws Exception {
    double until = record.now() + seconds;
    while (!condition.getAsBoolean()) {
      if (record.now() > until) {
        throw new IllegalStateException("not within " + seconds + " s: " + what);
      }
      sleep(10);
    }
  }

  /** Waits between two attempts of a client or the platform; returns false. */
  private static boolean pause() {
    try {
      Thread.sleep(200);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return false;
  }

  static void sleep(long millis) throws InterruptedException {
    Thread.sleep(millis);
  }

  static <T> FutureTask<T> inBackground(Callable<T> work) {
    FutureTask<T> task = new FutureTask<>(work);
    Thread thread = new Thread(task, "client");
    thread.setDaemon(true);
    thread.start();
    return task;
  }

  @Override
  public void close() throws Exception {
    for (Minion m : minions) {
      m.close();
    }
    deployment.close();
    for (AutoCloseable o : others) {
      o.close();
    }
  }
}
