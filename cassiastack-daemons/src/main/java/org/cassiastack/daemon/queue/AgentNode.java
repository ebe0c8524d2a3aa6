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
 * An agent process, which starts, stops and monitors runs at one minion for the leader.
 *
 * @since 0.2
 */
public final class AgentNode implements AutoCloseable {
  /** Tick interval. It bounds the delay with which lease expiries and due retries are handled. */
  private static final Duration TICK = Duration.ofMillis(25);

  private final NodeRuntime runtime;
  private final MinionRunClient minion;

  private AgentNode(
      NodeId self,
      AgentSettings settings,
      List<NodeId> seeds,
      MemberPorts ports,
      MinionRunClient minion,
      TimeSource time) {
    this.minion = minion;
    runtime = NodeRuntime.create(self, settings.incarnation(), ports, time);
    runtime.start("agent", List.of(AgentController.create(settings)), this::perform, TICK);
    runtime.dial(seeds);
  }

  /**
   * Starts an agent.
   *
   * @param self identity of the agent
   * @param settings incarnation and start time of the process, maximum lease and stop grace of the
   *     runs
   * @param seeds control members to connect to first
   * @param ports ports on which control members and entries listen
   * @param minion client of the minion
   * @param time source of the current time
   */
  public static AgentNode start(
      NodeId self,
      AgentSettings settings,
      List<NodeId> seeds,
      MemberPorts ports,
      MinionRunClient minion,
      TimeSource time) {
    return new AgentNode(self, settings, seeds, ports, minion, time);
  }

  /** Returns the runtime of this process, to which the events of the minion are posted. */
  public NodeRuntime runtime() {
    return runtime;
  }

  @Override
  public void close() {
    runtime.close();
  }

  private void perform(Effect effect) {
    if (effect instanceof CallStart c) {
      minion.start(c).subscribe(runtime::post);
    } else if (effect instanceof CallHold c) {
      minion.hold(c).subscribe(runtime::post);
    } else if (effect instanceof CallStop c) {
      minion.stop(c).subscribe(runtime::post);
    }
  }
}
