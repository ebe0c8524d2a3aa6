package org.cassiastack.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cassiastack.bench.local.DaemonProcesses;
import org.cassiastack.daemon.EntryMain;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against the loss of an accepted configuration when control members are killed. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ControlMembersTest {
  private static final int MEMBERS = 3;

  /** A loopback address that no other program uses, so that ports stay free until members start. */
  private static final String HOST = "127.17.0.1";

  private static final String IN_FORCE = "event=configuration_in_force revision=1";

  @TempDir private Path folder;
  private final List<Process> processes = new ArrayList<>();
  private String members = "";

  @BeforeEach
  void write_the_first_configuration_and_reserve_member_addresses() throws IOException {
    Path configurationFolder = Files.createDirectory(folder.resolve("configuration"));
    Files.writeString(
        configurationFolder.resolve("all.ini"), "[failure-domain north]\n[service ice]\n");
    List<ServerSocket> reservedSockets = new ArrayList<>();
    List<String> memberAddresses = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST));
      reservedSockets.add(socket);
      memberAddresses.add("entry-" + i + "@" + HOST + ":" + socket.getLocalPort());
    }
    for (ServerSocket socket : reservedSockets) {
      socket.close();
    }
    members = String.join(", ", memberAddresses);
  }

  @AfterEach
  void kill_processes() {
    processes.forEach(Process::destroyForcibly);
  }

  @Test
  void an_accepted_configuration_survives_the_kill_of_one_member_and_of_all() throws Exception {
    for (BufferedReader log : startAll()) {
      DaemonProcesses.awaitLine(log, IN_FORCE);
    }

    kill(0);
    DaemonProcesses.awaitLine(start(0), IN_FORCE);
    for (int i = 0; i < MEMBERS; i++) {
      kill(i);
    }

    for (BufferedReader log : startAll()) {
      // At each start a member applies its first configuration, based on the empty revision. The
      // change is refused as stale: revision 1 has survived and is still the only accepted change.
      assertThat(DaemonProcesses.awaitLine(log, "event=bootstrap "))
          .contains("code=STALE_BASE revision=1");
    }
  }

  private List<BufferedReader> startAll() throws IOException {
    List<BufferedReader> logs = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      logs.add(start(i));
    }
    return logs;
  }

  private BufferedReader start(int number) throws IOException {
    String settings =
        """
        [node]
        name = entry-%1$d
        [callers]
        listen = 127.0.0.1:0
        [operators]
        listen = 127.0.0.1:0
        [peers]
        listen = %2$s
        [configuration]
        folder = %3$s
        [control]
        members = %4$s
        folder = %5$s
        """
            .formatted(
                number,
                members.split(", ", -1)[number].split("@", -1)[1],
                folder.resolve("configuration"),
                members,
                folder.resolve("data-" + number));
    Path settingsFile = Files.writeString(folder.resolve("entry-" + number + ".ini"), settings);
    Process process =
        new ProcessBuilder(DaemonProcesses.launchCommand(EntryMain.class, settingsFile, List.of()))
            .redirectErrorStream(true)
            .start();
    if (processes.size() > number) {
      processes.set(number, process);
    } else {
      processes.add(process);
    }
    return process.inputReader();
  }

  private void kill(int number) throws InterruptedException {
    processes.get(number).destroyForcibly().waitFor();
  }
}
