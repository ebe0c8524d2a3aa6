package org.cassiastack.model;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the table of numbered codes on a page of the docs. */
public final class CodeTable {
  private CodeTable() {}

  /**
   * Returns the number and the name of each row, separated by a space, in the order of the page.
   */
  public static List<String> rows(String page) throws IOException {
    return Files.readAllLines(Path.of("..", "docs", page)).stream()
        .filter(line -> line.matches("\\| \\d+ .*"))
        .map(line -> line.replaceAll("^\\| (\\d+) \\| `(\\w+)` .*", "$1 $2"))
        .toList();
  }
}
