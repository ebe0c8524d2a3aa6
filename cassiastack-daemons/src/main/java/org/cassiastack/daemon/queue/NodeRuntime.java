package org.cassiastack.daemon.queue;

import java.time.Duration;
import java.util.List;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.ControllerLoop;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.EffectHandler;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.LoopTurn;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.request.LeaderViewChanged;
import org.cassiastack.schedule.PlacementStats;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * What every process of the durable queues has: the loop of its controllers, the connections to the
 * control members, its log of decisions and its counters.
 *
 * <pre>{@code
 * NodeLoop node = NodeLoop.create(self, incarnation, memberPort, time);
 * node.start("desk", controllers, effect -> carryOut(effect), tick);
 * node.dial(seeds);
 * }</pre>
 *
 * @since 0.2
 */
public final class NodeRuntime implements AutoCloseable {
  /** An event that waits for longer makes answers late and leases short: a lease lasts 1 s. */
  private static final Duration LAG = Duration.ofMillis(250);

  private static final double LAG_LINES_PER_SECOND = 2;

  private final NodeId self;
  private final TimeSource time;
  private final QueueMetrics metrics = QueueMetrics.create();
  private final LogRateLimiter limiter;
  private final DecisionLog decisions;
  private final MemberNetwork network;
  private volatile @Nullable ControllerLoop loop;

  private NodeRuntime(NodeId self, Incarnation incarnation, int memberPort, TimeSource time) {
    this.self = self;
    this.time = time;
    this.limiter = LogRateLimiter.create(time, metrics);
    this.decisions = new DecisionLog(limiter, metrics);
    this.network = MemberNetwork.create(self, incarnation, memberPort, this::post);
  }

  /**
   * Makes a node without controllers and connections.
   *
   * @param self its identity
   * @param incarnation this life of its process
   * @param memberPort where control members listen
   * @param time tells the time
   */
  static NodeRuntime create(NodeId self, Incarnation incarnation, int memberPort, TimeSource time) {
    return new NodeRuntime(self, incarnation, memberPort, time);
  }

  /**
   * Starts the loop.
   *
   * @param name name of its thread
   * @param controllers the controllers, in the order in which they see each event
   * @param others carries out the effects that only this kind of node has, and is told of each
   *     {@link LeaderViewChanged}
   * @param tick how often the controllers are told that time has passed
   */
  void start(String name, List<Controller> controllers, EffectHandler others, Duration tick) {
    ControllerLoop started =
        ControllerLoop.start(
            name,
            controllers,
            effect -> carryOut(effect, others),
            time,
            e -> Logger.error(e, "event=controller_failed loop={}", name),
            turn -> handled(name, turn));
    loop = started;
    started.tickEvery(tick);
  }

  /** Accepts connections at the address that is the node's name. */
  void listen() {
    network.listen(self.name());
  }

  /** Turns to more control members, besides those that are known. */
  public void dial(List<NodeId> members) {
    network.dial(members);
  }

  /** Hands an event over without waiting, on any thread; one before the start is dropped. */
  public void post(Event event) {
    ControllerLoop target = loop;
    if (target != null) {
      target.post(event);
    }
  }

  /** Returns the counters of this process. */
  public QueueMetrics metrics() {
    return metrics;
  }

  @Override
  public void close() {
    network.close();
    ControllerLoop running = loop;
    if (running != null) {
      running.close();
    }
  }

  private void handled(String name, LoopTurn turn) {
    metrics.recordLoopTurn(turn);
    boolean lagging = turn.waitTime().compareTo(LAG) > 0;
    if (lagging && limiter.tryAcquire("loop_lagging", LAG_LINES_PER_SECOND)) {
      Logger.warn(
          "event=loop_lagging loop={} waited={} taken={} behind={} kind={}",
          name,
          turn.waitTime(),
          turn.handlingTime(),
          turn.queuedEvents(),
          QueueMetrics.eventType(turn.event()));
    }
  }

  private void carryOut(Effect effect, EffectHandler others) {
    if (effect instanceof Send s) {
      send(s);
    } else if (effect instanceof Decision d) {
      decisions.write(d);
    } else if (effect instanceof PlacementStats w) {
      metrics.recordPlacement(w);
    } else {
      if (effect instanceof LeaderViewChanged l) {
        network.dial(l.members());
        Logger.info(
            "event=leader_seen leader={} members={} cause={}", l.leader(), l.members(), l.cause());
      }
      others.handle(effect);
    }
  }

  private void send(Send s) {
    if (s.to().equals(self)) {
      post(new Received(self, s.message()));
    } else {
      network.send(s.to(), s.message());
    }
  }
}
