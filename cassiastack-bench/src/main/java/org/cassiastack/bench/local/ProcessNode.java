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

/** A daemon in a process of its own. */
final class ProcessNode implements Node {
  private static final long STOP_SECONDS = 40;

  private final List<String> command;
  private final Path log;
  private @Nullable Process process;

  private ProcessNode(List<String> command, Path log) {
    this.command = command;
    this.log = log;
  }

  /**
   * Prepares a daemon.
   *
   * @param main its main class
   * @param settings its settings file; its log goes beside it
   * @param options options of the Java machine
   */
  static ProcessNode of(Class<?> main, Path settings, List<String> options) {
    List<String> command = DaemonProcesses.launchCommand(main, settings, options);
    return new ProcessNode(command, settings.resolveSibling(settings.getFileName() + ".log"));
  }

  @Override
  public void start() {
    Process p = process;
    if (p != null && p.isAlive()) {
      return;
    }
    try {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(Redirect.appendTo(log.toFile()))
              .start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void stop() throws CassiaException {
    Process p = running();
    p.destroy();
    await(p);
  }

  @Override
  public void kill() throws CassiaException {
    Process p = running();
    p.destroyForcibly();
    await(p);
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
    Process p = process;
    if (p != null) {
      p.destroyForcibly();
      await(p);
    }
  }

  /** Returns the id of the process. */
  long pid() throws CassiaException {
    return running().pid();
  }

  private void signal(String name) throws CassiaException {
    try {
      await(new ProcessBuilder("kill", name, Long.toString(pid())).start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Process running() throws CassiaException {
    Process p = process;
    if (p == null || !p.isAlive()) {
      throw CassiaException.of(Refusals.malformed("the process does not run; log " + log));
    }
    return p;
  }

  private static void await(Process p) {
    try {
      p.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
