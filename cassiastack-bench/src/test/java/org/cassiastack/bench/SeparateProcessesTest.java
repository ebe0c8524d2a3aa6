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

@Timeout(value = 120, unit = TimeUnit.SECONDS)
class SeparateProcessesTest {
  private static final int TASKS = 40;

  @TempDir private Path folder;
  private final List<Process> processes = new ArrayList<>();
  private final List<StandInMinion> minions = new ArrayList<>();

  @AfterEach
  void end_processes() {
    processes.forEach(Process::destroyForcibly);
    minions.forEach(StandInMinion::close);
  }

  @Test
  void a_job_passes_from_caller_to_minions_and_back_through_separate_processes() throws Exception {
    BufferedReader log = startEntry();
    String started = DaemonProcesses.awaitLine(log, "event=entry_started");
    startAgent("agent-1", "north", DaemonProcesses.parsePort(started, "peers"));
    startAgent("agent-2", "south", DaemonProcesses.parsePort(started, "peers"));
    DaemonProcesses.awaitLine(log, "event=minions_changed available=2");

    InetSocketAddress callers = Loopback.address(DaemonProcesses.parsePort(started, "callers"));
    JobAnswer answer = CallerClient.create(callers).submit(job()).block();

    assertThat(answer).isNotNull();
    assertThat(answer.isComplete()).isTrue();
    assertThat(answer.results())
        .extracting(r -> r.output().toText())
        .containsExactlyElementsOf(job().tasks().stream().map(t -> t.payload().toText()).toList());
    assertThat(minions).allSatisfy(m -> assertThat(m.startsByTask()).isNotEmpty());
    assertThat(minions.stream().flatMap(m -> m.startsByTask().values().stream()))
        .hasSize(TASKS)
        .containsOnly(1);
  }

  private BufferedReader startEntry() throws IOException {
    Path declared = Files.createDirectory(folder.resolve("configuration"));
    Files.writeString(
        declared.resolve("all.ini"),
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
            .formatted(declared);
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
    Path file = Files.writeString(folder.resolve(name + ".ini"), settings);
    Process process =
        new ProcessBuilder(DaemonProcesses.launchCommand(main, file, List.of()))
            .redirectErrorStream(true)
            .start();
    processes.add(process);
    return process.inputReader();
  }

  private static Job job() {
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
