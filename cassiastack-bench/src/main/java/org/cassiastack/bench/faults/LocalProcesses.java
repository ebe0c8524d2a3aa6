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
 * One entry and its agents in separate processes, with the stand-in minions in this process, so
 * that the minions keep counting task starts while the other processes are killed and paused.
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
    Path configurationFolder = Files.createDirectories(folder.resolve("configuration"));
    Files.writeString(
        configurationFolder.resolve("all.ini"),
        "[failure-domain north]\n[failure-domain south]\n[service ice]\n[customer ayaz]\n");
    entry = launchEntry();
  }

  /**
   * Starts the processes and waits until all minions are available at the entry.
   *
   * @param folder folder into which the settings files are written
   * @param agents number of agents, each with one minion
   * @throws IOException when a process cannot be started or the entry ends early
   */
  public static LocalProcesses start(Path folder, int agents) throws IOException {
    LocalProcesses processes = new LocalProcesses(folder);
    BufferedReader log = processes.entry.inputReader();
    String startedLine = DaemonProcesses.awaitLine(log, "event=entry_started");
    processes.callerPort = DaemonProcesses.parsePort(startedLine, "callers");
    processes.peerPort = DaemonProcesses.parsePort(startedLine, "peers");
    for (int i = 0; i < agents; i++) {
      processes.minions.add(
          StandInMinion.start(Loopback.address(0), TaskBehavior.specifiedByInput()));
      processes.agents.add(processes.launchAgent(i));
    }
    DaemonProcesses.awaitLine(log, "event=minions_changed available=" + agents);
    discardOutput(log);
    return processes;
  }

  /** Returns the caller address of the entry; it stays the same when the entry is restarted. */
  public InetSocketAddress callerAddress() {
    return Loopback.address(callerPort);
  }

  /** Returns the stand-in minions, in order of their agents. */
  public List<StandInMinion> minions() {
    return List.copyOf(minions);
  }

  /** Kills the entry and starts it again at the same addresses. */
  public void killAndRestartEntry() throws IOException {
    kill(entry);
    entry = launchEntry();
    discardOutput(entry.inputReader());
  }

  /** Kills an agent and starts it again. */
  public void killAndRestartAgent(int number) throws IOException {
    kill(agents.get(number));
    agents.set(number, launchAgent(number));
  }

  /** Suspends all threads of an agent (SIGSTOP). */
  public void pauseAgent(int number) throws IOException {
    signal("-STOP", agents.get(number));
  }

  /** Resumes a paused agent (SIGCONT). */
  public void resumeAgent(int number) throws IOException {
    signal("-CONT", agents.get(number));
  }

  @Override
  public void close() {
    kill(entry);
    agents.forEach(LocalProcesses::kill);
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
    discardOutput(agent.inputReader());
    return agent;
  }

  private Process launch(Class<?> main, String name, String settings) throws IOException {
    Path settingsFile = Files.writeString(folder.resolve(name + ".ini"), settings);
    return new ProcessBuilder(
            DaemonProcesses.launchCommand(main, settingsFile, List.of("-Xmx256m")))
        .redirectErrorStream(true)
        .start();
  }

  /** Reads and discards the output of a process, which would block once the pipe is full. */
  private static void discardOutput(BufferedReader log) {
    Thread reader = new Thread(() -> log.lines().forEach(line -> {}), "log");
    reader.setDaemon(true);
    reader.start();
  }

  private static void signal(String signalName, Process process) throws IOException {
    awaitExit(new ProcessBuilder("kill", signalName, Long.toString(process.pid())).start());
  }

  private static void kill(Process process) {
    awaitExit(process.destroyForcibly());
  }

  private static void awaitExit(Process process) {
    process.onExit().join();
  }
}
