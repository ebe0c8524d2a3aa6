package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with seconds since the start. */
final class Record {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void add(String format, Object... arguments) {
    String line = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
    out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), line);
  }
}
