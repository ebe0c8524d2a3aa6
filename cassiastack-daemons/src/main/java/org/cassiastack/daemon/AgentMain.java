package org.cassiastack.daemon;

import java.nio.file.Path;
import java.time.Duration;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.agent.Agent;
import org.cassiastack.daemon.settings.AgentSettings;
import org.cassiastack.model.CassiaException;

/** Main class of the agent daemon, which runs until the process is stopped by a signal. */
public final class AgentMain {
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

  private AgentMain() {}

  /** Starts the daemon with the settings file given by {@code --settings}. */
  public static void main(String[] arguments) throws InterruptedException {
    try {
      Path file = DaemonArguments.settingsFile("cassia-agent", arguments);
      Agent agent = Agent.start(AgentSettings.read(file), TimeSource.system());
      Runtime.getRuntime().addShutdownHook(new Thread(() -> agent.stop(STOP_TIMEOUT), "stop"));
      Thread.currentThread().join();
    } catch (CassiaException e) {
      DaemonArguments.exitWithRefusal(e);
    }
  }
}
