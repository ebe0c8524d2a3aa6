package org.cassiastack.daemon.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.cassiastack.consensus.RaftSettings;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.entry.Entry;
import org.cassiastack.daemon.settings.EntrySettings;
import org.cassiastack.model.NodeId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class OperatorCommandsTest {
  private static final String CHANGE_ID = "5a1de0b4-6f0e-4c8e-9a68-0f3f6c7f2a10";
  private static final String FILES =
      "[failure-domain north]\n[failure-domain south]\n[service ice]\n[customer ayaz]\n";

  @TempDir private Path folder;
  private Entry entry;
  private String output = "";

  @BeforeEach
  void start_an_entry_without_a_configuration() throws Exception {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Duration minute = Duration.ofMinutes(1);
    EntrySettings settings =
        new EntrySettings(
            new NodeId("entry-1"),
            anyPort,
            anyPort,
            anyPort,
            null,
            minute,
            minute,
            Map.of(),
            null,
            RaftSettings.DEFAULT_SNAPSHOT_THRESHOLD_BYTES);
    entry = Entry.start(settings, TimeSource.system());
    Files.writeString(folder.resolve("all.ini"), FILES);
  }

  @AfterEach
  void stop_the_entry() {
    entry.stop(Duration.ofSeconds(5));
  }

  @Test
  void applies_a_folder_and_shows_the_applied_configuration() {
    assertThat(run("apply", "--base", "0", folder.toString())).isEqualTo(ExitCodes.OK);
    assertThat(output).contains("accepted revision 1");

    assertThat(run("show")).isEqualTo(ExitCodes.OK);
    assertThat(output).contains("# revision 1", "[failure-domain north]", "state = in");
  }

  @Test
  void gives_the_same_answer_to_a_change_that_is_sent_again() {
    run("apply", "--change-id", CHANGE_ID, "--base", "0", folder.toString());
    run("drain", "north");

    assertThat(run("apply", "--change-id", CHANGE_ID, folder.toString())).isEqualTo(ExitCodes.OK);
    assertThat(output).contains("accepted revision 1");
    run("show");
    assertThat(output).contains("# revision 2");
  }

  @Test
  void refuses_a_change_that_was_based_on_an_older_revision() {
    run("apply", "--base", "0", folder.toString());

    assertThat(run("apply", "--base", "0", folder.toString())).isEqualTo(ExitCodes.REFUSED);
    assertThat(output).contains("501 STALE_BASE", "Nothing changed");
  }

  @Test
  void refuses_a_change_id_that_was_used_for_other_files() throws IOException {
    run("apply", "--change-id", CHANGE_ID, "--base", "0", folder.toString());
    Files.writeString(folder.resolve("more.ini"), "[customer inyenyeri]\n");

    assertThat(run("apply", "--change-id", CHANGE_ID, folder.toString()))
        .isEqualTo(ExitCodes.REFUSED);
    assertThat(output).contains("503 CHANGE_ID_REUSED");
  }

  @Test
  void takes_a_failure_domain_out_of_service_and_back_and_shows_the_changes() {
    run("apply", "--base", "0", folder.toString());

    assertThat(run("drain", "north")).isEqualTo(ExitCodes.OK);
    run("status", "--json");
    assertThat(output).contains("\"north\":false", "\"south\":true");
    run("show", "--from", "1");
    assertThat(output)
        .contains("- [failure-domain north] state = in", "+ [failure-domain north] state = out")
        .doesNotContain("south");

    assertThat(run("return", "north")).isEqualTo(ExitCodes.OK);
    run("show", "--from", "1", "3");
    assertThat(output).isEqualTo("# changes from revision 1 to 3\n");
  }

  @Test
  void refuses_to_drain_a_failure_domain_that_is_not_declared() {
    run("apply", "--base", "0", folder.toString());

    assertThat(run("drain", "nroth")).isEqualTo(ExitCodes.REFUSED);
    assertThat(output).contains("'nroth'", "Nothing changed");
  }

  @Test
  void rolls_back_by_applying_the_text_of_an_older_revision() throws IOException {
    run("apply", "--base", "0", folder.toString());
    run("drain", "north");
    run("show", "1");
    Path oldFiles = Files.createDirectory(folder.resolve("old"));
    Files.writeString(oldFiles.resolve("all.ini"), output);

    assertThat(run("check", oldFiles.toString())).isEqualTo(ExitCodes.OK);
    assertThat(run("apply", "--base", "2", oldFiles.toString())).isEqualTo(ExitCodes.OK);
    run("show", "--from", "1");
    assertThat(output).isEqualTo("# changes from revision 1 to 3\n");
  }

  @Test
  void refuses_a_revision_that_is_not_retained() {
    assertThat(run("show", "77")).isEqualTo(ExitCodes.REFUSED);
    assertThat(output).contains("507 UNKNOWN_REVISION");
  }

  private int run(String command, String... arguments) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    String[] all = new String[arguments.length + (command.equals("check") ? 1 : 3)];
    all[0] = command;
    int next = 1;
    if (!command.equals("check")) {
      all[next++] = "--operators";
      all[next++] = "127.0.0.1:" + entry.operatorAddress().getPort();
    }
    System.arraycopy(arguments, 0, all, next, arguments.length);
    int code = CommandLine.load().run(all, out, out);
    output = bytes.toString(StandardCharsets.UTF_8);
    return code;
  }
}
