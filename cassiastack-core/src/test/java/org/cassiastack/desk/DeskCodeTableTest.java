package org.cassiastack.desk;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class DeskCodeTableTest {
  @Test
  void the_table_in_the_docs_lists_exactly_the_codes_in_order() throws IOException {
    List<String> rows =
        Files.readAllLines(Path.of("..", "docs", "QUEUES.md")).stream()
            .filter(line -> line.matches("\\| \\d+ .*"))
            .map(line -> line.replaceAll("^\\| (\\d+) \\| `(\\w+)` .*", "$1 $2"))
            .toList();

    assertThat(rows)
        .containsExactlyElementsOf(
            Arrays.stream(DeskCode.values()).map(c -> c.number() + " " + c.name()).toList());
  }
}
