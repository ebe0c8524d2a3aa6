package org.cassiastack.daemon;

import java.nio.file.Path;
import java.time.Duration;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.entry.Entry;
import org.cassiastack.daemon.settings.EntrySettings;
import org.cassiastack.model.CassiaException;

/** Main class of the entry daemon, which runs until the process is stopped by a signal. */
public final class EntryMain {
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

  private EntryMain() {}

  /** Starts the daemon with the settings file given by {@code --settings}. */
  public static void main(String[] arguments) throws InterruptedException {
    try {
      Path file = DaemonArguments.settingsFile("cassia-entry", arguments);
      Entry entry = Entry.start(EntrySettings.read(file), TimeSource.system());
      Runtime.getRuntime().addShutdownHook(new Thread(() -> entry.stop(STOP_TIMEOUT), "stop"));
      Thread.currentThread().join();
    } catch (CassiaException e) {
      DaemonArguments.exitWithRefusal(e);
    }
  }
}
