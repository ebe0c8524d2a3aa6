package org.cassiastack.daemon.queue;

import java.time.Duration;
import java.util.List;
import org.cassiastack.agent.AgentController;
import org.cassiastack.agent.AgentSettings;
import org.cassiastack.agent.CallHold;
import org.cassiastack.agent.CallStart;
import org.cassiastack.agent.CallStop;
import org.cassiastack.controller.ControllerLoop;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.decision.Decision;
import org.cassiastack.desk.LeaderSeen;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Send;
import org.tinylog.Logger;

/**
 * A process beside one minion, which it runs for the leader.
 *
 * @since 0.2
 */
public final class AgentNode implements AutoCloseable {
  /** How finely leases and retries are kept. */
  private static final Duration TICK = Duration.ofMillis(25);

  private final QueueMetrics metrics = QueueMetrics.create();
  private final DecisionLog decisions;
  private final MemberNetwork network;
  private final ControllerLoop loop;
  private final MinionPort minion;

  private AgentNode(
      NodeId self,
      AgentSettings settings,
      List<NodeId> seeds,
      int memberPort,
      MinionPort minion,
      TimeSource time) {
    this.minion = minion;
    decisions = new DecisionLog(time, metrics);
    EventSink sink = new EventSink();
    network = MemberNetwork.create(self, settings.incarnation(), memberPort, sink::post);
    loop =
        ControllerLoop.start(
            "agent",
            List.of(AgentController.create(settings)),
            this::carryOut,
            time,
            e -> Logger.error(e, "event=controller_failed loop=agent"));
    sink.connect(loop);
    network.dial(seeds);
    loop.tickEvery(TICK);
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
      MinionPort minion,
      TimeSource time) {
    return new AgentNode(self, settings, seeds, memberPort, minion, time);
  }

  /** Takes what the minion says of itself. */
  public void post(Event event) {
    loop.post(event);
  }

  /** Turns to more control members, besides those that are known. */
  public void dial(List<NodeId> members) {
    network.dial(members);
  }

  /** Returns the counters of this process. */
  public QueueMetrics metrics() {
    return metrics;
  }

  @Override
  public void close() {
    network.close();
    loop.close();
  }

  private void carryOut(Effect effect) {
    if (effect instanceof Send s) {
      network.send(s.to(), s.message());
    } else if (effect instanceof CallStart c) {
      minion.start(c).subscribe(loop::post);
    } else if (effect instanceof CallHold c) {
      minion.hold(c).subscribe(loop::post);
    } else if (effect instanceof CallStop c) {
      minion.stop(c).subscribe(loop::post);
    } else if (effect instanceof Decision d) {
      decisions.write(d);
    } else if (effect instanceof LeaderSeen l) {
      network.dial(l.members());
      Logger.info("event=leader_seen leader={} members={}", l.leader(), l.members());
    }
  }
}
