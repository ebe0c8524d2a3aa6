package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses. It has three edge machines with a disk, one in each
 * zone, which run the roles {@code entry} and {@code control}, and some side machines, which run
 * the role {@code agent}. Each machine has an address of its own. The programs are started with the
 * commands of deploy/system.toml and with settings made from its template.
 */
final class Deployment implements AutoCloseable {
  static final int EDGES = 3;
  static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

  private static final Path REPOSITORY = Path.of("").toAbsolutePath();
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z_.]+)}}");
  private static final List<String> PASSED_VARIABLES = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
  private static final int PORTS = 20;
  private static final int GRACE_SECONDS = 6;
  private static final int RESTART_DELAY_MILLIS = 1_000;

  private final Record record;
  private final Path folder;
  private final int network;
  private final int basePort;
  private final String deployFile;
  private final List<Node> nodes = new ArrayList<>();
  private volatile boolean closed;

  private Deployment(Record record, int sides) throws IOException {
    this.record = record;
    this.folder = Files.createTempDirectory("cassiastack-review");
    this.deployFile = Files.readString(REPOSITORY.resolve("deploy/system.toml"));
    this.network = 10 + ThreadLocalRandom.current().nextInt(200);
    this.basePort = freePorts(sides);
    for (int i = 0; i < EDGES; i++) {
      nodes.add(new Node("control", "edge-" + (i + 1), edgeIp(i), zone(i)));
    }
    for (int i = 0; i < EDGES; i++) {
      nodes.add(new Node("entry", "edge-" + (i + 1), edgeIp(i), zone(i)));
    }
    for (int i = 0; i < sides; i++) {
      nodes.add(new Node("agent", "side-" + (i + 1), sideIp(i), zone(i)));
    }
  }

  static Deployment create(Record record, int sides) throws IOException {
    return new Deployment(record, sides);
  }

  /** Starts all processes for the first time. From now on a process that ends is started again. */
  void start() throws IOException {
    for (Node n : nodes) {
      n.start(true);
    }
    Thread supervisor = new Thread(this::supervise, "supervisor");
    supervisor.setDaemon(true);
    supervisor.start();
  }

  private void supervise() {
    try {
      while (!closed) {
        for (Node n : nodes) {
          n.restartIfEnded();
        }
        Thread.sleep(RESTART_DELAY_MILLIS);
      }
    } catch (IOException e) {
      record.say("a process could not be started again: %s", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  Node control(int i) {
    return nodes.get(i);
  }

  /** Stops the processes of an edge machine with SIGTERM, and with SIGKILL after GraceS. */
  void terminateEdge(int i) throws InterruptedException {
    List<Node> ofMachine = edge(i);
    ofMachine.forEach(Node::requestEnd);
    for (Node n : ofMachine) {
      n.awaitEnd();
    }
  }

  /** Starts the processes of an edge machine again. */
  void startEdge(int i) throws IOException {
    for (Node n : edge(i)) {
      n.start(false);
    }
  }

  /** Freezes the processes of an edge machine, or lets them go on. */
  void freezeEdge(int i, boolean frozen) throws IOException, InterruptedException {
    for (Node n : edge(i)) {
      n.signal(frozen ? "STOP" : "CONT");
    }
  }

  /** Freezes the process of a side machine, or lets it go on. */
  void freezeSide(int i, boolean frozen) throws IOException, InterruptedException {
    nodes.get(2 * EDGES + i).signal(frozen ? "STOP" : "CONT");
  }

  private List<Node> edge(int i) {
    return List.of(nodes.get(i), nodes.get(EDGES + i));
  }

  static String zone(int i) {
    return ZONES.get(i % ZONES.size());
  }

  String edgeIp(int i) {
    return "127." + network + "." + (i + 1) + ".1";
  }

  String sideIp(int i) {
    return "127." + network + "." + (100 + i) + ".1";
  }

  int frontPort() {
    return basePort;
  }

  int readyPort() {
    return basePort + 1;
  }

  int controlPort() {
    return basePort + 2;
  }

  int minionPort() {
    return basePort + 3;
  }

  /** Returns the control member that says that it leads, from the newest such line of the logs. */
  int leader() throws IOException {
    int leader = -1;
    String newest = "";
    Pattern began = Pattern.compile("^time=(\\S+) .*event=leadership_began", Pattern.MULTILINE);
    for (int i = 0; i < EDGES; i++) {
      Matcher m = began.matcher(control(i).log());
      while (m.find()) {
        if (m.group(1).compareTo(newest) > 0) {
          newest = m.group(1);
          leader = i;
        }
      }
    }
    return leader;
  }

  /** Ends all processes and deletes their files; the logs go to a folder if one is given. */
  @Override
  public synchronized void close() throws IOException {
    if (closed) {
      return;
    }
    closed = true;
    for (Node n : nodes) {
      n.end();
    }
    String keep = System.getenv("KEEP_LOGS");
    if (keep != null) {
      Files.createDirectories(Path.of(keep));
      for (Node n : nodes) {
        Files.writeString(Path.of(keep, n.role + "-" + n.machine + ".log"), n.log());
      }
    }
    deleteTree(folder);
  }

  private static void deleteTree(Path root) throws IOException {
    try (Stream<Path> files = Files.walk(root)) {
      for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(p);
      }
    }
  }

  /** Returns the first of a range of ports that are free at the addresses of all machines. */
  private int freePorts(int sides) throws IOException {
    List<String> ips = new ArrayList<>();
    for (int i = 0; i < EDGES; i++) {
      ips.add(edgeIp(i));
    }
    for (int i = 0; i < sides; i++) {
      ips.add(sideIp(i));
    }
    for (int attempt = 0; attempt < 50; attempt++) {
      int port = 12_000 + ThreadLocalRandom.current().nextInt(15_000);
      if (ips.stream().allMatch(ip -> areFree(ip, port))) {
        return port;
      }
    }
    throw new IOException("no free ports");
  }

  private static boolean areFree(String ip, int first) {
    for (int port = first; port < first + PORTS; port++) {
      try (ServerSocket s = new ServerSocket()) {
        s.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  private List<String> command(String role) {
    Pattern p =
        Pattern.compile("\\[roles\\." + role + "]\\s*\\nrun = \"([^\"]*)\"", Pattern.MULTILINE);
    Matcher m = p.matcher(deployFile);
    if (!m.find()) {
      throw new IllegalStateException("no command for role " + role);
    }
    return List.of(m.group(1).split(" "));
  }

  private Map<String, String> fields(Node n, boolean firstStart) {
    Map<String, String> f = new LinkedHashMap<>();
    boolean edge = !n.role.equals("agent");
    f.put("NodeName", n.machine);
    f.put("Ip", n.ip);
    f.put("Zone", n.zone);
    f.put("Listen.Front", n.role.equals("entry") ? n.ip + ":" + frontPort() : "");
    f.put("Listen.ReadyAddr", n.role.equals("entry") ? n.ip + ":" + readyPort() : "");
    f.put("Listen.Control", n.role.equals("entry") ? "" : n.ip + ":" + controlPort());
    f.put("InnerPortRange", (basePort + 4) + "," + (basePort + PORTS - 1));
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < EDGES; i++) {
      seeds.add(edgeIp(i) + ":" + controlPort());
    }
    f.put("Seeds", String.join(",", seeds));
    f.put("Bootstrap", Boolean.toString(firstStart));
    f.put("DataDir", edge ? n.dataFolder().toString() : "");
    f.put("Tolerate.Machines", "1");
    f.put("app", edge ? "" : n.ip + ":" + minionPort());
    f.put("Bounds.MaxHoldMs", "1000");
    f.put("Bounds.StopGraceMs", "50");
    f.put("Bounds.status_s", "120");
    f.put("Bounds.GraceS", "6");
    f.put("Bounds.RemoteFactor", "1.5");
    return f;
  }

  private static String fill(String template, Map<String, String> fields) {
    Matcher m = PLACEHOLDER.matcher(template);
    StringBuilder text = new StringBuilder();
    while (m.find()) {
      m.appendReplacement(text, Matcher.quoteReplacement(fields.getOrDefault(m.group(1), "")));
    }
    m.appendTail(text);
    return text.toString();
  }

  /** One process of the system. */
  final class Node {
    final String role;
    final String machine;
    final String ip;
    final String zone;
    private Process process;
    private boolean stopped;
    private int ownEnds;

    Node(String role, String machine, String ip, String zone) {
      this.role = role;
      this.machine = machine;
      this.ip = ip;
      this.zone = zone;
    }

    Path dataFolder() {
      return folder.resolve(machine + "-" + role + "-data");
    }

    /** Starts the process. */
    synchronized void start(boolean firstStart) throws IOException {
      if (closed) {
        return;
      }
      stopped = false;
      Path settings = folder.resolve(machine + "-" + role + ".ini");
      String template = Files.readString(REPOSITORY.resolve("deploy/settings.ini"));
      Files.writeString(settings, fill(template, fields(this, firstStart)));
      if (!role.equals("agent")) {
        Files.createDirectories(dataFolder());
      }
      ProcessBuilder builder = new ProcessBuilder(command(role));
      builder.directory(REPOSITORY.toFile());
      builder.environment().keySet().retainAll(PASSED_VARIABLES);
      builder.environment().put("CASSIASTACK_NODE_FILE", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
      process = builder.start();
      record.line("start %s %s", role, machine);
    }

    /** Returns how often the process has ended by itself. */
    synchronized int ownEnds() {
      return ownEnds;
    }

    private synchronized void restartIfEnded() throws IOException {
      if (!stopped && !closed && !process.isAlive()) {
        ownEnds++;
        record.line("%s %s has ended by itself, exit code %d", role, machine, process.exitValue());
        start(false);
      }
    }

    private synchronized Process stopSupervising() {
      stopped = true;
      return process;
    }

    private void requestEnd() {
      record.line("SIGTERM %s %s", role, machine);
      stopSupervising().destroy();
    }

    private void awaitEnd() throws InterruptedException {
      if (!process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
        record.line("SIGKILL %s %s", role, machine);
        process.destroyForcibly();
        process.waitFor();
      }
      record.line("ended %s %s", role, machine);
    }

    String log() {
      try {
        return Files.exists(logFile())
            ? new String(Files.readAllBytes(logFile()), StandardCharsets.UTF_8)
            : "";
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private void signal(String name) throws IOException, InterruptedException {
      record.line("SIG%s %s %s", name, role, machine);
      String command = "kill -" + name + " " + process.pid();
      if (new ProcessBuilder("sh", "-c", command).start().waitFor() != 0) {
        throw new IOException("the signal could not be sent: " + command);
      }
    }

    private Path logFile() {
      return folder.resolve(machine + "-" + role + ".log");
    }

    private void end() {
      Process p = stopSupervising();
      if (p != null) {
        p.destroyForcibly();
        try {
          p.waitFor();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }
}
