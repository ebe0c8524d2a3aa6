package org.cassiastack.daemon;

import java.nio.file.Path;
import java.time.Duration;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.entry.Entry;
import org.cassiastack.daemon.settings.EntrySettings;
import org.cassiastack.model.CassiaException;

/** Runs an entry until the process is asked to stop. */
public final class EntryMain {
  private static final Duration STOP_PATIENCE = Duration.ofSeconds(30);

  private EntryMain() {}

  /** Starts the daemon with the settings file that the arguments name. */
  public static void main(String[] arguments) throws InterruptedException {
    try {
      Path file = DaemonArguments.settingsFile("cassia-entry", arguments);
      Entry running = Entry.start(EntrySettings.read(file), TimeSource.system());
      Runtime.getRuntime().addShutdownHook(new Thread(() -> running.stop(STOP_PATIENCE), "stop"));
      Thread.currentThread().join();
    } catch (CassiaException e) {
      DaemonArguments.exitWithRefusal(e);
    }
  }
}
