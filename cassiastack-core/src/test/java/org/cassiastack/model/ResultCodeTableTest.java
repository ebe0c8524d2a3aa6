package org.cassiastack.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResultCodeTableTest {
  @Test
  void the_docs_table_lists_exactly_the_result_codes_in_order() throws IOException {
    List<String> rows = CodeTable.rows("RESULT-CODES.md");

    assertThat(rows)
        .containsExactlyElementsOf(
            Arrays.stream(ResultCode.values()).map(c -> c.number() + " " + c.name()).toList());
  }
}
