package org.cassiastack.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cassiastack.bench.local.DaemonProcesses;
import org.cassiastack.bench.minion.Loopback;
import org.cassiastack.bench.minion.StandInMinion;
import org.cassiastack.bench.minion.TaskBehavior;
import org.cassiastack.daemon.AgentMain;
import org.cassiastack.daemon.EntryMain;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Task;
import org.cassiastack.transport.http.CallerClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs a job on an entry and two agents, each in a separate process. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class SeparateProcessesTest {
  private static final int TASKS = 40;

  @TempDir private Path folder;
  private final List<Process> processes = new ArrayList<>();
  private final List<StandInMinion> minions = new ArrayList<>();

  @AfterEach
  void kill_processes_and_close_minions() {
    processes.forEach(Process::destroyForcibly);
    minions.forEach(StandInMinion::close);
  }

  @Test
  void a_job_passes_from_caller_to_minions_and_back_and_starts_each_task_once() throws Exception {
    BufferedReader log = startEntry();
    String startedLine = DaemonProcesses.awaitLine(log, "event=entry_started");
    startAgent("agent-1", "north", DaemonProcesses.parsePort(startedLine, "peers"));
    startAgent("agent-2", "south", DaemonProcesses.parsePort(startedLine, "peers"));
    DaemonProcesses.awaitLine(log, "event=minions_changed available=2");

    InetSocketAddress callers = Loopback.address(DaemonProcesses.parsePort(startedLine, "callers"));
    JobAnswer answer = CallerClient.create(callers).submit(newJob()).block();

    assertThat(answer).isNotNull();
    assertThat(answer.isComplete()).isTrue();
    assertThat(answer.results())
        .extracting(result -> result.output().toText())
        .containsExactlyElementsOf(
            newJob().tasks().stream().map(task -> task.payload().toText()).toList());
    assertThat(minions).allSatisfy(minion -> assertThat(minion.startsByTask()).isNotEmpty());
    assertThat(minions.stream().flatMap(minion -> minion.startsByTask().values().stream()))
        .hasSize(TASKS)
        .containsOnly(1);
  }

  private BufferedReader startEntry() throws IOException {
    Path configurationFolder = Files.createDirectory(folder.resolve("configuration"));
    Files.writeString(
        configurationFolder.resolve("all.ini"),
        "[failure-domain north]\n[failure-domain south]\n[service ice]\n[customer ayaz]\n");
    String settings =
        """
        [node]
        name = entry-1
        [callers]
        listen = 127.0.0.1:0
        [operators]
        listen = 127.0.0.1:0
        [peers]
        listen = 127.0.0.1:0
        [configuration]
        folder = %s
        """
            .formatted(configurationFolder);
    return start(EntryMain.class, "entry-1", settings);
  }

  private void startAgent(String name, String domain, int entryPort) throws IOException {
    StandInMinion minion =
        StandInMinion.start(Loopback.address(0), TaskBehavior.specifiedByInput());
    minions.add(minion);
    String settings =
        """
        [node]
        name = %1$s
        [worker]
        name = worker-%1$s
        rack = rack-%1$s
        failure-domain = %2$s
        [entries]
        addresses = 127.0.0.1:%3$d
        [minion minion-%1$s]
        service = ice
        slots = 4
        url = %4$s
        """
            .formatted(name, domain, entryPort, minion.url());
    start(AgentMain.class, name, settings);
  }

  private BufferedReader start(Class<?> main, String name, String settings) throws IOException {
    Path settingsFile = Files.writeString(folder.resolve(name + ".ini"), settings);
    Process process =
        new ProcessBuilder(DaemonProcesses.launchCommand(main, settingsFile, List.of()))
            .redirectErrorStream(true)
            .start();
    processes.add(process);
    return process.inputReader();
  }

  private static Job newJob() {
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS; i++) {
      tasks.add(new Task(i, Payload.ofText("run_ms=20 task " + i)));
    }
    return new Job(
        JobKey.of(Instant.now(), 1, 1),
        new Customer("ayaz"),
        new ServiceName("ice"),
        Duration.ofSeconds(60),
        true,
        tasks);
  }
}
