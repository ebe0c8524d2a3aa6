package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The file of one trial: what was sent, answered and run, with the seconds since its start. */
final class Record implements AutoCloseable {
  private static final double NANOS_PER_SECOND = 1e9;

  private final long startNanos = System.nanoTime();
  private final PrintWriter writer;

  private Record(PrintWriter writer) {
    this.writer = writer;
  }

  static Record create(Path file) {
    try {
      return new Record(
          new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the seconds since the start of the trial. */
  double seconds() {
    return (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
  }

  /** Writes a line that only the file gets. */
  synchronized void line(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    writer.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
  }

  /** Writes a line that is also printed. */
  void say(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
