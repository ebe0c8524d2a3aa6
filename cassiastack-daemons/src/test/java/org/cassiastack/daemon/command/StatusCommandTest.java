package org.cassiastack.daemon.command;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class StatusCommandTest {
  private static final String STATUS =
      """
      {"node": "entry-1", "revision": 7, "failureDomains": {"north": true, "south": false},
       "minions": [{"minion": "minion-1", "service": "ice", "agent": "agent-1",
                    "failureDomain": "north", "slots": 8}]}
      """;

  @Test
  void the_tables_show_the_state_of_each_failure_domain_and_the_location_of_each_minion()
      throws Exception {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    StatusCommand.print(
        new ObjectMapper().readTree(STATUS), new PrintStream(bytes, true, StandardCharsets.UTF_8));

    assertThat(bytes.toString(StandardCharsets.UTF_8).lines().map(l -> l.replaceAll(" +", " ")))
        .contains("revision 7", "north in", "south out", "minion-1 ice agent-1 north 8");
  }
}
