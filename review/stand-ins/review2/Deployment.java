package review2;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Starts the project's programs with the commands of deploy/system.toml, each machine on a loopback
 * address of its own, and ends them.
 */
final class Deployment implements AutoCloseable {
  private static final Pattern ROLE =
      Pattern.compile("(?m)^\\[roles\\.(\\w+)]\\s*\\nrun = \"([^\"]*)\"");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([\\w.]+)}}");
  private static final int INNER_PORTS = 16;

  /** A machine of the deployment; {@code inner} is the first of its inner ports. */
  record Machine(String ip, String zone, boolean disk, int inner) {}

  private final Path root;
  private final Path folder;
  private final Record record;
  private final Map<String, String> commands = new HashMap<>();
  private final String template;
  private final List<Process> processes = new ArrayList<>();
  private final int network = ThreadLocalRandom.current().nextInt(20, 250);
  private final int base = ThreadLocalRandom.current().nextInt(200, 290) * 100;
  private final List<String> seeds = new ArrayList<>();

  private Deployment(Path root, Path folder, Record record) throws IOException {
    this.root = root;
    this.folder = folder;
    this.record = record;
    Matcher roles = ROLE.matcher(Files.readString(root.resolve("deploy/system.toml")));
    while (roles.find()) {
      commands.put(roles.group(1), roles.group(2));
    }
    template = Files.readString(root.resolve("deploy/settings.ini"));
  }

  static Deployment create(Path root, Record record) throws IOException {
    return new Deployment(root, Files.createTempDirectory("review2-"), record);
  }

  String ip(int part, int number) {
    return "127." + network + "." + part + "." + number;
  }

  int innerPort() {
    return base + 40;
  }

  int frontPort() {
    return base + 1;
  }

  int readyPort() {
    return base + 7;
  }

  int controlPort() {
    return base + 6;
  }

  int appPort() {
    return base + 5;
  }

  static InetSocketAddress address(String ip, int port) {
    return new InetSocketAddress(ip, port);
  }

  /** Names the machines whose control addresses every process gets as seeds. */
  void setSeeds(List<Machine> machines) {
    machines.forEach(m -> seeds.add(m.ip + ":" + controlPort()));
  }

  /** Starts a role on a machine with the settings of the first start of the whole system. */
  Process start(String role, Machine machine) throws IOException {
    return start(role, machine, true);
  }

  /**
   * Starts a role on a machine.
   *
   * @param first whether the whole system starts for the first time
   */
  Process start(String role, Machine machine, boolean first) throws IOException {
    Path settings = folder.resolve(role + "-" + machine.ip + ".ini");
    Files.writeString(settings, render(role, machine, first));
    ProcessBuilder builder = new ProcessBuilder(command(role).split(" "));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("CASSIASTACK_NODE_FILE", settings.toString());
    Process process =
        builder
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(
                    new File(folder.toFile(), role + "-" + machine.ip + ".log")))
            .start();
    synchronized (processes) {
      processes.add(process);
    }
    record.line("PROCESS %s on %s started", role, machine.ip);
    return process;
  }

  private String command(String role) {
    String command = commands.get(role);
    if (command == null) {
      throw new IllegalStateException("the deploy file has no role " + role);
    }
    return command;
  }

  private String render(String role, Machine machine, boolean first) {
    Map<String, String> values = new HashMap<>();
    values.put("NodeName", role + "-" + machine.ip);
    values.put("Ip", machine.ip);
    values.put("Zone", machine.zone);
    values.put("DataDir", machine.disk ? folder.resolve("data-" + machine.ip).toString() : "");
    values.put("Listen.Front", machine.ip + ":" + frontPort());
    values.put("Listen.ReadyAddr", machine.ip + ":" + readyPort());
    values.put("Listen.Control", machine.ip + ":" + controlPort());
    values.put("InnerPortRange", machine.inner + "," + (machine.inner + INNER_PORTS - 1));
    values.put("Seeds", String.join(",", seeds));
    values.put("Bootstrap", Boolean.toString(first));
    values.put("Tolerate.Machines", "1");
    values.put("app", role.equals("agent") ? machine.ip + ":" + appPort() : "");
    values.put("Limits.CpuShare", "0.75");
    values.put("Limits.Cores", "2");
    values.put("Bounds.ResendMs", "1300");
    values.put("Bounds.MaxHoldMs", "1000");
    values.put("Bounds.StopGraceMs", "50");
    values.put("Bounds.status_s", "120");
    values.put("Bounds.GraceS", "6");
    values.put("Bounds.RemoteFactor", "1.5");
    return PLACEHOLDER
        .matcher(template)
        .replaceAll(m -> Matcher.quoteReplacement(values.getOrDefault(m.group(1), "")));
  }

  /** Returns whether the ports of a machine are free. */
  boolean isFree(Machine machine) {
    List<Integer> ports =
        List.of(
            frontPort(), readyPort(), controlPort(), appPort(), machine.inner, machine.inner + 1,
            9464, 9465, 9466);
    for (int port : ports) {
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(machine.ip))) {
        probe.setReuseAddress(true);
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  /** Returns the lines of a process's log that contain a text. */
  List<String> logLines(String role, Machine machine, String text) throws IOException {
    Path log = folder.resolve(role + "-" + machine.ip + ".log");
    try (Stream<String> lines = Files.lines(log)) {
      return lines.filter(l -> l.contains(text)).toList();
    }
  }

  /** Ends the processes that were started, and removes the temporary folder. */
  @Override
  public void close() {
    synchronized (processes) {
      processes.forEach(Process::destroyForcibly);
      for (Process p : processes) {
        try {
          p.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (System.getenv("KEEP") != null) {
      System.err.println(folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    } catch (IOException e) {
      record.line("the temporary folder was not removed: %s", e.getClass().getSimpleName());
    }
  }
}
