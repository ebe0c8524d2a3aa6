package org.cassiastack.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.cassiastack.model.CodeTable;
import org.junit.jupiter.api.Test;

class AnswerCodeTableTest {
  @Test
  void the_table_in_the_docs_lists_exactly_the_codes_in_order() throws IOException {
    List<String> rows = CodeTable.rows("QUEUES.md");

    assertThat(rows)
        .containsExactlyElementsOf(
            Arrays.stream(AnswerCode.values()).map(c -> c.number() + " " + c.name()).toList());
  }
}
