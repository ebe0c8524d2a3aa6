package org.cassiastack.bench.faults;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.bench.local.DaemonProcesses;
import org.cassiastack.bench.minion.Loopback;
import org.cassiastack.bench.minion.StandInMinion;
import org.cassiastack.bench.minion.TaskBehavior;
import org.cassiastack.daemon.AgentMain;
import org.cassiastack.daemon.EntryMain;

/**
 * One entry and agents as processes of their own, with stand-in minions in this one, so that the
 * minions count on while the others are killed and frozen.
 *
 * @since 0.1
 */
public final class LocalProcesses implements AutoCloseable {
  private static final int SLOTS = 4;

  private final Path folder;
  private final List<StandInMinion> minions = new ArrayList<>();
  private final List<Process> agents = new ArrayList<>();
  private Process entry;
  private int callerPort;
  private int peerPort;

  private LocalProcesses(Path folder) throws IOException {
    this.folder = folder;
    Path declared = Files.createDirectories(folder.resolve("configuration"));
    Files.writeString(
        declared.resolve("all.ini"),
        "[failure-domain north]\n[failure-domain south]\n[service ice]\n[customer ayaz]\n");
    entry = launchEntry();
  }

  /**
   * Starts the processes and waits until the entry knows each minion.
   *
   * @param folder where settings are written
   * @param agents number of agents
   * @throws IOException when a process cannot be started
   */
  public static LocalProcesses start(Path folder, int agents) throws IOException {
    LocalProcesses all = new LocalProcesses(folder);
    BufferedReader log = all.entry.inputReader();
    String started = DaemonProcesses.awaitLine(log, "event=entry_started");
    all.callerPort = DaemonProcesses.parsePort(started, "callers");
    all.peerPort = DaemonProcesses.parsePort(started, "peers");
    for (int i = 0; i < agents; i++) {
      all.minions.add(StandInMinion.start(Loopback.address(0), TaskBehavior.specifiedByInput()));
      all.agents.add(all.launchAgent(i));
    }
    DaemonProcesses.awaitLine(log, "event=minions_changed available=" + agents);
    drain(log);
    return all;
  }

  /** Returns where callers are served, also after the entry was started again. */
  public InetSocketAddress callerAddress() {
    return Loopback.address(callerPort);
  }

  /** Returns the minions. */
  public List<StandInMinion> minions() {
    return List.copyOf(minions);
  }

  /** Kills the entry and starts it anew at the same addresses. */
  public void killAndRestartEntry() throws IOException {
    end(entry);
    entry = launchEntry();
    drain(entry.inputReader());
  }

  /** Kills an agent and starts it anew. */
  public void killAndRestartAgent(int number) throws IOException {
    end(agents.get(number));
    agents.set(number, launchAgent(number));
  }

  /** Stops the threads of an agent where they stand. */
  public void pauseAgent(int number) throws IOException {
    signal("-STOP", agents.get(number));
  }

  /** Lets a frozen agent go on. */
  public void resumeAgent(int number) throws IOException {
    signal("-CONT", agents.get(number));
  }

  @Override
  public void close() {
    end(entry);
    agents.forEach(LocalProcesses::end);
    minions.forEach(StandInMinion::close);
  }

  private Process launchEntry() throws IOException {
    String settings =
        """
        [node]
        name = entry-1
        [callers]
        listen = 127.0.0.1:%d
        [operators]
        listen = 127.0.0.1:0
        [peers]
        listen = 127.0.0.1:%d
        [configuration]
        folder = %s
        """
            .formatted(callerPort, peerPort, folder.resolve("configuration"));
    return launch(EntryMain.class, "entry-1", settings);
  }

  private Process launchAgent(int number) throws IOException {
    String settings =
        """
        [node]
        name = agent-%1$d
        [worker]
        name = worker-%1$d
        rack = rack-%1$d
        failure-domain = %2$s
        [entries]
        addresses = 127.0.0.1:%3$d
        [minion minion-%1$d]
        service = ice
        slots = %4$d
        url = %5$s
        """
            .formatted(
                number,
                number % 2 == 0 ? "north" : "south",
                peerPort,
                SLOTS,
                minions.get(number).url());
    Process agent = launch(AgentMain.class, "agent-" + number, settings);
    drain(agent.inputReader());
    return agent;
  }

  private Process launch(Class<?> main, String name, String settings) throws IOException {
    Path file = Files.writeString(folder.resolve(name + ".ini"), settings);
    return new ProcessBuilder(DaemonProcesses.launchCommand(main, file, List.of("-Xmx256m")))
        .redirectErrorStream(true)
        .start();
  }

  /** A log that nobody reads would fill its pipe and block its process. */
  private static void drain(BufferedReader log) {
    Thread reader = new Thread(() -> log.lines().forEach(line -> {}), "log");
    reader.setDaemon(true);
    reader.start();
  }

  private static void signal(String name, Process process) throws IOException {
    await(new ProcessBuilder("kill", name, Long.toString(process.pid())).start());
  }

  private static void end(Process process) {
    await(process.destroyForcibly());
  }

  private static void await(Process process) {
    process.onExit().join();
  }
}
