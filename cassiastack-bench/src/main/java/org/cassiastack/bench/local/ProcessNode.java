package org.cassiastack.bench.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;
import org.jspecify.annotations.Nullable;

/** A daemon in a separate process. */
final class ProcessNode implements Node {
  private static final long EXIT_TIMEOUT_SECONDS = 40;

  private final List<String> command;
  private final Path logFile;
  private @Nullable Process process;

  private ProcessNode(List<String> command, Path logFile) {
    this.command = command;
    this.logFile = logFile;
  }

  /**
   * Prepares a daemon without starting it.
   *
   * @param main main class of the daemon
   * @param settings settings file of the daemon; the log is written beside it
   * @param options JVM options
   */
  static ProcessNode of(Class<?> main, Path settings, List<String> options) {
    List<String> command = DaemonProcesses.launchCommand(main, settings, options);
    return new ProcessNode(command, settings.resolveSibling(settings.getFileName() + ".log"));
  }

  @Override
  public void start() {
    Process current = process;
    if (current != null && current.isAlive()) {
      return;
    }
    try {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(Redirect.appendTo(logFile.toFile()))
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void stop() throws CassiaException {
    Process current = requireRunning();
    current.destroy();
    awaitExit(current);
  }

  @Override
  public void kill() throws CassiaException {
    Process current = requireRunning();
    current.destroyForcibly();
    awaitExit(current);
  }

  @Override
  public void pause() throws CassiaException {
    signal("-STOP");
  }

  @Override
  public void resume() throws CassiaException {
    signal("-CONT");
  }

  @Override
  public void close() {
    Process current = process;
    if (current != null) {
      current.destroyForcibly();
      awaitExit(current);
    }
  }

  /**
   * Returns the id of the process.
   *
   * @throws CassiaException when the process is not running
   */
  long pid() throws CassiaException {
    return requireRunning().pid();
  }

  private void signal(String signalName) throws CassiaException {
    try {
      awaitExit(new ProcessBuilder("kill", signalName, Long.toString(pid())).start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Process requireRunning() throws CassiaException {
    Process current = process;
    if (current == null || !current.isAlive()) {
      throw CassiaException.of(
          Refusals.malformed("the process is not running; its log is " + logFile));
    }
    return current;
  }

  private static void awaitExit(Process process) {
    try {
      process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
