package org.cassiastack.daemon;

import java.nio.file.Path;
import java.time.Duration;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.agent.Agent;
import org.cassiastack.daemon.settings.AgentSettings;
import org.cassiastack.model.CassiaException;

/** Runs an agent until the process is asked to stop. */
public final class AgentMain {
  private static final Duration STOP_PATIENCE = Duration.ofSeconds(30);

  private AgentMain() {}

  /** Starts the daemon with the settings file that the arguments name. */
  public static void main(String[] arguments) throws InterruptedException {
    try {
      Path file = DaemonArguments.settingsFile("cassia-agent", arguments);
      Agent running = Agent.start(AgentSettings.read(file), TimeSource.system());
      Runtime.getRuntime().addShutdownHook(new Thread(() -> running.stop(STOP_PATIENCE), "stop"));
      Thread.currentThread().join();
    } catch (CassiaException e) {
      DaemonArguments.exitWithRefusal(e);
    }
  }
}
