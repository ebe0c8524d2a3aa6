package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, with the time since the start in seconds. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startedNanos = System.nanoTime();

  private Record(PrintWriter out) {
    this.out = out;
  }

  static Record to(Path file) throws IOException {
    return new Record(new PrintWriter(Files.newBufferedWriter(file)));
  }

  /** Returns the time since the start in seconds. */
  double now() {
    return (System.nanoTime() - startedNanos) / 1e9;
  }

  synchronized void line(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
