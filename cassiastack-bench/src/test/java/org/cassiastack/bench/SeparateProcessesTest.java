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
import java.util.regex.Matcher;
import java.util.regex.Pattern;
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
  private static final Pattern ADDRESS = Pattern.compile("(\\w+)=/127\\.0\\.0\\.1:(\\d+)");
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
    String started = awaitLine(log, "event=entry_started");
    startAgent("agent-1", "north", port(started, "peers"));
    startAgent("agent-2", "south", port(started, "peers"));
    awaitLine(log, "event=minions_changed available=2");

    InetSocketAddress callers = Loopback.port(port(started, "callers"));
    JobAnswer answer = CallerClient.create(callers).submit(job()).block();

    assertThat(answer).isNotNull();
    assertThat(answer.isComplete()).isTrue();
    assertThat(answer.results())
        .extracting(r -> r.output().toText())
        .containsExactlyElementsOf(job().tasks().stream().map(t -> t.payload().toText()).toList());
    assertThat(minions).allSatisfy(m -> assertThat(m.starts()).isNotEmpty());
    assertThat(minions.stream().flatMap(m -> m.starts().values().stream()))
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
    StandInMinion minion = StandInMinion.start(Loopback.port(0), TaskBehavior.namedByInput());
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
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                main.getName(),
                "--settings",
                file.toString())
            .redirectErrorStream(true)
            .start();
    processes.add(process);
    return process.inputReader();
  }

  private static String awaitLine(BufferedReader log, String part) throws IOException {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(part)) {
        return line;
      }
    }
    throw new AssertionError("process ended before it logged " + part);
  }

  private static int port(String line, String name) {
    Matcher m = ADDRESS.matcher(line);
    while (m.find()) {
      if (m.group(1).equals(name)) {
        return Integer.parseInt(m.group(2));
      }
    }
    throw new AssertionError("no address of " + name + " in " + line);
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
