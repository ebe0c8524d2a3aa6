package org.cassiastack.daemon.queue;

import java.time.Duration;
import java.util.List;
import org.cassiastack.agent.AgentController;
import org.cassiastack.agent.AgentSettings;
import org.cassiastack.agent.CallHold;
import org.cassiastack.agent.CallStart;
import org.cassiastack.agent.CallStop;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.model.NodeId;

/**
 * A process beside one minion, which it runs for the leader.
 *
 * @since 0.2
 */
public final class AgentNode implements AutoCloseable {
  /** How finely leases and retries are kept. */
  private static final Duration TICK = Duration.ofMillis(25);

  private final NodeRuntime runtime;
  private final MinionRunClient minion;

  private AgentNode(
      NodeId self,
      AgentSettings settings,
      List<NodeId> seeds,
      int memberPort,
      MinionRunClient minion,
      TimeSource time) {
    this.minion = minion;
    runtime = NodeRuntime.create(self, settings.incarnation(), memberPort, time);
    runtime.start("agent", List.of(AgentController.create(settings)), this::carryOut, TICK);
    runtime.dial(seeds);
  }

  /**
   * Starts a process.
   *
   * @param self its identity
   * @param settings settings of the agent
   * @param seeds control members to begin with
   * @param memberPort where control members listen
   * @param minion makes the calls to the minion
   * @param time tells the time
   */
  public static AgentNode start(
      NodeId self,
      AgentSettings settings,
      List<NodeId> seeds,
      int memberPort,
      MinionRunClient minion,
      TimeSource time) {
    return new AgentNode(self, settings, seeds, memberPort, minion, time);
  }

  /** Returns what all kinds of nodes have; it also takes what the minion says of itself. */
  public NodeRuntime runtime() {
    return runtime;
  }

  @Override
  public void close() {
    runtime.close();
  }

  private void carryOut(Effect effect) {
    if (effect instanceof CallStart c) {
      minion.start(c).subscribe(runtime::post);
    } else if (effect instanceof CallHold c) {
      minion.hold(c).subscribe(runtime::post);
    } else if (effect instanceof CallStop c) {
      minion.stop(c).subscribe(runtime::post);
    }
  }
}
