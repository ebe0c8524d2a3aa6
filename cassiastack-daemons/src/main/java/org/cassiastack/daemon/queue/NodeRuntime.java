package org.cassiastack.daemon.queue;

import java.time.Duration;
import java.util.List;
import org.cassiastack.consensus.LogStats;
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
import org.cassiastack.request.DialFallback;
import org.cassiastack.request.HangUpFallback;
import org.cassiastack.request.LeaderViewChanged;
import org.cassiastack.schedule.PlacementStats;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The runtime of each process of the durable queues: the loop of the controllers, the connections
 * to the control members, the decision log and the metrics.
 *
 * <pre>{@code
 * NodeRuntime runtime = NodeRuntime.create(self, incarnation, ports, time);
 * runtime.start("desk", controllers, effect -> perform(effect), tick);
 * runtime.dial(seeds);
 * }</pre>
 *
 * @since 0.2
 */
public final class NodeRuntime implements AutoCloseable {
  /**
   * Wait time of an event above which the loop is logged as lagging. A longer wait delays answers
   * and leaves too little time to renew a lease, which lasts 1 s.
   */
  private static final Duration LAG_THRESHOLD = Duration.ofMillis(250);

  private static final double MAX_LAG_LINES_PER_SECOND = 2;

  private final NodeId self;
  private final TimeSource time;
  private final QueueMetrics metrics = QueueMetrics.create();
  private final LogRateLimiter limiter;
  private final DecisionLog decisions;
  private final MemberNetwork network;
  private volatile @Nullable ControllerLoop loop;

  private NodeRuntime(NodeId self, Incarnation incarnation, MemberPorts ports, TimeSource time) {
    this.self = self;
    this.time = time;
    this.limiter = LogRateLimiter.create(time, metrics);
    this.decisions = new DecisionLog(limiter, metrics);
    this.network = MemberNetwork.create(self, incarnation, ports, this::post);
  }

  /**
   * Creates a runtime without controllers and connections.
   *
   * @param self identity of the process
   * @param incarnation incarnation of the process
   * @param ports ports on which control members and entries listen
   * @param time source of the current time
   */
  static NodeRuntime create(
      NodeId self, Incarnation incarnation, MemberPorts ports, TimeSource time) {
    return new NodeRuntime(self, incarnation, ports, time);
  }

  /**
   * Starts the loop of the controllers.
   *
   * @param name name of the thread of the loop
   * @param controllers the controllers, in the order in which they see each event
   * @param effectHandler performs the effects that are specific to this kind of process, and also
   *     receives each {@link LeaderViewChanged}, {@link DialFallback} and {@link HangUpFallback}
   * @param tickInterval time between the ticks that are passed to the controllers
   */
  void start(
      String name,
      List<Controller> controllers,
      EffectHandler effectHandler,
      Duration tickInterval) {
    ControllerLoop started =
        ControllerLoop.start(
            name,
            controllers,
            effect -> perform(effect, effectHandler),
            time,
            e -> Logger.error(e, "event=controller_failed loop={}", name),
            turn -> onLoopTurn(name, turn));
    loop = started;
    started.tickEvery(tickInterval);
  }

  /** Accepts connections as a control member, at the address that is the name of this node. */
  void listen() {
    network.listen();
  }

  /** Accepts connections as an entry that may be a fallback dispatcher. */
  void listenAsFallback() {
    network.listenAsFallback();
  }

  /** Connects to further control members; members that were dialed before are skipped. */
  public void dial(List<NodeId> members) {
    network.dial(members);
  }

  /**
   * Passes an event to the controllers without waiting for them. May be called on any thread. An
   * event that is posted before the start is dropped.
   */
  public void post(Event event) {
    ControllerLoop target = loop;
    if (target != null) {
      target.post(event);
    }
  }

  /** Returns the metrics of this process. */
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

  private void onLoopTurn(String name, LoopTurn turn) {
    metrics.recordLoopTurn(turn);
    boolean lagging = turn.waitTime().compareTo(LAG_THRESHOLD) > 0;
    if (lagging && limiter.tryAcquire("loop_lagging", MAX_LAG_LINES_PER_SECOND)) {
      Logger.warn(
          "event=loop_lagging loop={} waited={} taken={} behind={} kind={}",
          name,
          turn.waitTime(),
          turn.handlingTime(),
          turn.queuedEvents(),
          QueueMetrics.eventType(turn.events().get(0)));
    }
  }

  private void perform(Effect effect, EffectHandler effectHandler) {
    if (effect instanceof Send s) {
      send(s);
    } else if (effect instanceof Decision d) {
      decisions.write(d);
    } else if (effect instanceof DialFallback f) {
      network.dialFallbacks(f.nodes());
      effectHandler.handle(effect);
    } else if (effect instanceof HangUpFallback) {
      network.hangUpFallbacks();
      effectHandler.handle(effect);
    } else if (effect instanceof PlacementStats p) {
      metrics.recordPlacement(p);
    } else if (effect instanceof LogStats l) {
      metrics.recordLog(l);
    } else {
      if (effect instanceof LeaderViewChanged l) {
        network.dial(l.members());
        Logger.info(
            "event=leader_seen leader={} members={} cause={}", l.leader(), l.members(), l.cause());
      }
      effectHandler.handle(effect);
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
