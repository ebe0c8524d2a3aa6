package org.cassiastack.daemon.queue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.cassiastack.controller.ControllerLoop;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.decision.Decision;
import org.cassiastack.desk.DeskAnswered;
import org.cassiastack.desk.DeskController;
import org.cassiastack.desk.LeaderSeen;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Send;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * A process that hands callers' requests to the leader and holds no state that matters.
 *
 * @since 0.2
 */
public final class EntryNode implements AutoCloseable {
  /** How finely deadlines of requests are kept. */
  private static final Duration TICK = Duration.ofMillis(25);

  private final DeskPort port;
  private final QueueMetrics metrics = QueueMetrics.create();
  private final DecisionLog decisions;
  private final MemberNetwork network;
  private final ControllerLoop loop;
  private final AtomicReference<@Nullable NodeId> leader = new AtomicReference<>();

  private EntryNode(NodeId self, List<NodeId> seeds, int memberPort, TimeSource time) {
    decisions = new DecisionLog(time, metrics);
    EventSink sink = new EventSink();
    port = new DeskPort(time, sink);
    network = MemberNetwork.create(self, Incarnation.startedAt(time.now()), memberPort, sink::post);
    loop =
        ControllerLoop.start(
            "desk",
            List.of(DeskController.create()),
            this::carryOut,
            time,
            e -> Logger.error(e, "event=controller_failed loop=desk"));
    sink.connect(loop);
    network.dial(seeds);
    loop.tickEvery(TICK);
  }

  /**
   * Starts a process.
   *
   * @param self its identity
   * @param seeds control members to begin with
   * @param memberPort where control members listen
   * @param time tells the time
   */
  public static EntryNode start(NodeId self, List<NodeId> seeds, int memberPort, TimeSource time) {
    return new EntryNode(self, seeds, memberPort, time);
  }

  /** Returns where the leader is asked. */
  public DeskPort port() {
    return port;
  }

  /** Tells whether a leader is known. */
  public boolean isReady() {
    return leader.get() != null;
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
    } else if (effect instanceof DeskAnswered a) {
      port.answered(a);
    } else if (effect instanceof Decision d) {
      decisions.write(d);
    } else if (effect instanceof LeaderSeen l) {
      leader.set(l.leader());
      network.dial(l.members());
      Logger.info("event=leader_seen leader={} members={}", l.leader(), l.members());
    }
  }
}
