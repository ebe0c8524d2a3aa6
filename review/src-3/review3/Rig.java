package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: three zones, in each one edge machine with a disk (roles
 * entry and control) and some side machines (role agent). Each process is started with the command
 * of deploy/system.toml and a settings file made from deploy/settings.ini.
 */
final class Rig implements AutoCloseable {
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int COULD_NOT_RUN = 2;

  static final String SERVICE = "svc";
  static final String HOST = "desk.example";
  static final String PREFIX = "/jobs/";

  /** Ports of a machine that the rig chooses. */
  private static final int PORTS = 10;

  /** Ports at which deploy/settings.ini has the processes serve their metrics. */
  private static final int FIRST_METRICS_PORT = 9_464;

  private static final int METRICS_PORTS = 3;

  /** The bound {@code finish_s} of the sheet of Ayaz. */
  static final double FINISH_SECONDS = 14;


  /** The case cannot run, which says nothing about the rule. */
  static final class CannotRun extends Exception {
    private static final long serialVersionUID = 1;

    CannotRun(String reason) {
      super(reason);
    }
  }

  /** An answer to a call; status 0 if none came. */
  static final class Answer {
    final int status;
    final String body;

    Answer(int status, String body) {
      this.status = status;
      this.body = body;
    }
  }

  /** One machine with its processes. */
  final class Machine {
    final String name;
    final String ip;
    final String zone;
    final boolean edge;
    final Map<String, Process> processes = new LinkedHashMap<>();

    Machine(String name, String ip, String zone, boolean edge) {
      this.name = name;
      this.ip = ip;
      this.zone = zone;
      this.edge = edge;
    }

    void start(String role, boolean bootstrap) throws IOException {
      Path file = folder.resolve(name + "-" + role + ".ini");
      Files.writeString(file, settings(this, role, bootstrap));
      ProcessBuilder builder = new ProcessBuilder(command(role));
      builder.directory(repository.toFile());
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put("CASSIASTACK_NODE_FILE", file.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + "-" + role + ".log").toFile()));
      Process process = builder.start();
      processes.put(role, process);
      record.add("start %s %s pid %d bootstrap=%s", name, role, process.pid(), bootstrap);
    }

    /** Sends a signal to the process of a role. */
    void signal(String role, String signal) throws IOException, InterruptedException {
      Process process = processes.get(role);
      record.add("signal %s to %s %s pid %d", signal, name, role, process.pid());
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }
  }

  final Record record;
  final Path folder;
  final List<Machine> edges = new ArrayList<>();
  final List<Machine> sides = new ArrayList<>();
  final List<Minion> minions = new ArrayList<>();
  private final Path repository;
  private final Map<String, String> commands = new LinkedHashMap<>();
  private final String template;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final int frontPort;
  private final int readyPort;
  private final int controlPort;
  private final int appPort;
  private final int innerPort;

  Rig(Path repository, Record record, int sideCount)
      throws IOException, CannotRun {
    this.repository = repository;
    this.record = record;
    this.folder = Files.createTempDirectory("review3-");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    readCommands();
    template = Files.readString(repository.resolve("deploy/settings.ini"));
    Random random = new Random();
    int block = freeBlock(random);
    String[] zones = {"zone-a", "zone-b", "zone-c"};
    for (int z = 0; z < zones.length; z++) {
      edges.add(new Machine("edge-" + (z + 1), ip(block, z, 1), zones[z], true));
    }
    for (int i = 0; i < sideCount; i++) {
      int z = i % zones.length;
      sides.add(new Machine("side-" + (i + 1), ip(block, z, 10 + i), zones[z], false));
    }
    int base = freePorts(random);
    frontPort = base;
    readyPort = base + 1;
    controlPort = base + 2;
    appPort = base + 3;
    innerPort = base + 4;
  }

  private static String ip(int block, int zone, int host) {
    return "127." + block + "." + (zone + 1) + "." + host;
  }

  /** Returns a block of addresses on which no other process serves metrics. */
  private static int freeBlock(Random random) throws CannotRun {
    for (int attempt = 0; attempt < 50; attempt++) {
      int block = 10 + random.nextInt(200);
      if (areFree(ip(block, 0, 1), FIRST_METRICS_PORT, METRICS_PORTS)) {
        return block;
      }
    }
    throw new CannotRun("no free addresses");
  }

  private int freePorts(Random random) throws CannotRun {
    for (int attempt = 0; attempt < 50; attempt++) {
      int base = 20_000 + random.nextInt(1_000) * PORTS;
      if (areFree(edges.get(0).ip, base, PORTS)) {
        return base;
      }
    }
    throw new CannotRun("no free ports");
  }

  private static boolean areFree(String ip, int first, int count) {
    for (int port = first; port < first + count; port++) {
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  private void readCommands() throws IOException, CannotRun {
    String text = Files.readString(repository.resolve("deploy/system.toml"));
    Matcher m =
        Pattern.compile("(?m)^\\[roles\\.([a-z]+)\\]\\s*\\nrun = \"([^\"]+)\"").matcher(text);
    while (m.find()) {
      commands.put(m.group(1), m.group(2));
    }
    if (!commands.keySet().containsAll(List.of("entry", "control", "agent"))) {
      throw new CannotRun("deploy/system.toml has no commands for entry, control and agent");
    }
    if (!Files.exists(repository.resolve("target/platform/cassiastack.jar"))) {
      throw new CannotRun("the build of the deploy file is missing");
    }
  }

  private List<String> command(String role) {
    return List.of(commands.get(role).split(" +"));
  }

  String seeds() {
    StringBuilder text = new StringBuilder();
    for (Machine m : edges) {
      text.append(text.isEmpty() ? "" : ",").append(m.ip).append(':').append(controlPort);
    }
    return text.toString();
  }

  /** Fills in the template of the settings as the platform does. */
  private String settings(Machine m, String role, boolean bootstrap) {
    Map<String, String> values = new LinkedHashMap<>();
    values.put("NodeName", m.name);
    values.put("Ip", m.ip);
    values.put("Zone", m.zone);
    values.put("DataDir", role.equals("control") ? folder.resolve(m.name).toString() : "");
    values.put("Listen.Front", role.equals("entry") ? m.ip + ":" + frontPort : "");
    values.put("Listen.ReadyAddr", role.equals("entry") ? m.ip + ":" + readyPort : "");
    values.put("Listen.Control", role.equals("entry") ? "" : m.ip + ":" + controlPort);
    values.put("InnerPortRange", innerPort + "," + (innerPort + 5));
    values.put("Seeds", seeds());
    values.put("Bootstrap", Boolean.toString(bootstrap));
    values.put("Tolerate.Machines", "1");
    values.put("app", m.edge ? "" : m.ip + ":" + appPort);
    values.put("Bounds.ResendMs", "1300");
    values.put("Limits.CpuShare", "0.75");
    values.put("Limits.Cores", m.edge ? "2" : "1");
    values.put("Bounds.MaxHoldMs", "1000");
    values.put("Bounds.StopGraceMs", "50");
    values.put("Bounds.status_s", "120");
    values.put("Bounds.GraceS", "6");
    values.put("Bounds.RemoteFactor", "1.5");
    Matcher matcher = Pattern.compile("\\{\\{([A-Za-z_.]+)\\}\\}").matcher(template);
    return matcher.replaceAll(
        r -> Matcher.quoteReplacement(values.getOrDefault(r.group(1), "")));
  }

  /** Starts all processes and a minion beside each agent. */
  void startAll(long cpuPerMinion) throws IOException {
    for (Machine m : edges) {
      m.start("control", true);
      m.start("entry", true);
    }
    for (int i = 0; i < sides.size(); i++) {
      startSide(i, cpuPerMinion, List.of("a", "r1-" + (1 + i / 3)));
    }
  }

  void startSide(int index, long cpu, List<String> labels) throws IOException {
    Machine m = sides.get(index);
    m.start("agent", true);
    minions.add(
        new Minion(
            String.format("i-%08x", 0xa0 + index),
            new InetSocketAddress(InetAddress.getByName(m.ip), appPort),
            SERVICE,
            m.zone,
            cpu,
            labels,
            m.ip + ":" + controlPort,
            record));
  }

  /** Stores a configuration with one queue, and waits until jobs can be asked for everywhere. */
  void configure(long version, int maxAttempts, Duration limit)
      throws CannotRun, InterruptedException {
    String body = configuration(version, maxAttempts);
    long end = System.nanoTime() + limit.toNanos();
    for (int i = 0; System.nanoTime() < end; i++) {
      Machine m = edges.get(i % edges.size());
      Answer a = call("PUT", "http://" + m.ip + ":" + controlPort + "/config", "", body, 1_000);
      if (a.status == 200) {
        record.add("PUT /config version %d at %s -> 200", version, m.name);
        awaitEntries(end);
        return;
      }
      Thread.sleep(200);
    }
    throw new CannotRun("the first configuration was not accepted");
  }

  private void awaitEntries(long end) throws CannotRun, InterruptedException {
    while (System.nanoTime() < end) {
      boolean ready = true;
      for (Machine m : edges) {
        ready &= pending(m) >= 0;
      }
      if (ready) {
        return;
      }
      Thread.sleep(100);
    }
    throw new CannotRun("the entries do not answer");
  }

  static String configuration(long version, int maxAttempts) {
    return "{\"Version\":"
        + version
        + ",\"Routes\":[{\"Name\":\"r-one\",\"Host\":\""
        + HOST
        + "\",\"PathPrefix\":\""
        + PREFIX
        + "\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"TargetLatencyMs\":60,"
        + "\"Priority\":0,\"Service\":\""
        + SERVICE
        + "\",\"MaxAttempts\":"
        + maxAttempts
        + ",\"Stretch\":1.6}],\"Services\":[{\"Name\":\""
        + SERVICE
        + "\",\"HealthPath\":\"/health\",\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,"
        + "\"ColdStartS\":0.0,\"ColdPerS\":0.0,\"EnforcesCapacity\":false,\"Standby\":false}],"
        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
        + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
  }

  /** Submits a stored job, again at other entries until it gets a clear answer, as clients do. */
  int submit(String id, String body) throws InterruptedException {
    for (int i = 0; i < 8; i++) {
      Machine m = edges.get(Math.floorMod(id.hashCode() + i, edges.size()));
      Answer a = call("POST", front(m) + PREFIX + id, HOST, body, 1_500);
      record.add("POST %s at %s -> %d %s", id, m.name, a.status, a.body);
      if (a.status != 0 && a.status != 502 && a.status != 504) {
        return a.status;
      }
      Thread.sleep(300);
    }
    return 0;
  }

  /** Returns the state of a job as an entry shows it, or the status if that is not 200. */
  String state(Machine m, String id) {
    Answer a = call("GET", front(m) + PREFIX + id, HOST, "", 1_500);
    return a.status == 200 ? String.valueOf(Json.object(a.body).get("State")) : "" + a.status;
  }

  /** Returns the number of jobs that an entry shows as pending, or -1 without an answer. */
  long pending(Machine m) {
    Answer a = call("GET", front(m) + PREFIX, HOST, "", 1_500);
    return a.status == 200 ? ((Number) Json.object(a.body).get("Pending")).longValue() : -1;
  }

  String front(Machine m) {
    return "http://" + m.ip + ":" + frontPort;
  }

  String ready(Machine m) {
    return "http://" + m.ip + ":" + readyPort + "/ready";
  }

  String control(Machine m) {
    return "http://" + m.ip + ":" + controlPort;
  }

  Answer call(String method, String uri, String host, String body, long timeoutMillis) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create(uri))
            .timeout(Duration.ofMillis(timeoutMillis))
            .header("Content-Type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (!host.isEmpty()) {
      builder.header("Host", host).header("Cassiastack-Deadline-Ms", "" + timeoutMillis);
    }
    try {
      HttpResponse<String> r =
          client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(r.statusCode(), r.body());
    } catch (IOException e) {
      return new Answer(0, String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, "interrupted");
    }
  }

  static String jobId(int number) {
    return String.format("%016x", 0xc0ffee00000000L + number);
  }

  /** Returns the body of a stored job with one step. */
  static String job(int tasks, long cpu, long memMb, long millis, String more) {
    StringBuilder step = new StringBuilder("{\"Count\":" + tasks);
    step.append(cpu == 0 ? "" : ",\"Cpu\":" + cpu);
    step.append(memMb == 0 ? "" : ",\"MemMb\":" + memMb);
    step.append(",\"EstRuntimeMs\":").append(millis).append('}');
    return "{\"Spec\":\"ms=" + millis + " cpu=" + cpu + more + "\",\"Steps\":[" + step + "]}";
  }

  static long specNumber(String spec, String key, long defaultValue) {
    Matcher m = Pattern.compile("(?:^| )" + key + "=([0-9]+)").matcher(spec);
    return m.find() ? Long.parseLong(m.group(1)) : defaultValue;
  }

  /** Returns the runs of a job that all minions have begun. */
  List<Minion.Run> runsOf(String id) {
    List<Minion.Run> runs = new ArrayList<>();
    for (Minion m : minions) {
      for (Minion.Run r : m.history()) {
        if (r.task.startsWith(id)) {
          runs.add(r);
        }
      }
    }
    return runs;
  }

  /** Waits until all tasks of a job have ended {@code done}. */
  void awaitDone(String id, int tasks, double limitSeconds) throws CannotRun {
    double end = record.seconds() + limitSeconds;
    while (record.seconds() < end) {
      long done = runsOf(id).stream().filter(r -> r.how.equals("done")).count();
      if (done >= tasks) {
        return;
      }
      sleep(50);
    }
    throw new CannotRun("the first job was not run");
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  /** Ends all processes and removes the temporary folder. */
  @Override
  public synchronized void close() {
    Stream.concat(edges.stream(), sides.stream())
        .flatMap(m -> m.processes.values().stream())
        .forEach(Process::destroyForcibly);
    minions.forEach(Minion::close);
    minions.clear();
    if (System.getenv("KEEP") != null) {
      return;
    }
    sleep(200);
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      // The folder is a temporary one, or already removed.
    }
  }
}
