package org.cassiastack.daemon.queue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.request.DialFallback;
import org.cassiastack.request.EntryFallback;
import org.cassiastack.request.HangUpFallback;
import org.cassiastack.request.LeaderRequestController;
import org.cassiastack.request.LeaderViewChanged;
import org.cassiastack.request.RequestAnswered;
import org.cassiastack.schedule.FallbackController;
import org.cassiastack.schedule.ScheduleSettings;
import org.jspecify.annotations.Nullable;

/**
 * An entry process, which forwards callers' requests to the leader. The entry holds no state that
 * must survive a restart.
 *
 * @since 0.2
 */
public final class EntryNode implements AutoCloseable {
  /** Tick interval. It bounds the delay with which passed deadlines of requests are handled. */
  private static final Duration TICK = Duration.ofMillis(25);

  private final NodeRuntime runtime;
  private final LeaderClient leaderClient;
  private final AtomicReference<@Nullable NodeId> leader = new AtomicReference<>();
  private volatile boolean usingFallback;

  private EntryNode(
      NodeId self,
      List<NodeId> seeds,
      MemberPorts ports,
      List<Controller> controllers,
      TimeSource time) {
    runtime = NodeRuntime.create(self, Incarnation.startedAt(time.now()), ports, time);
    leaderClient = new LeaderClient(time, runtime::post);
    runtime.start("desk", controllers, this::perform, TICK);
    if (ports.usesFallback()) {
      runtime.listenAsFallback();
    }
    runtime.dial(seeds);
  }

  /**
   * Starts an entry.
   *
   * @param self identity of the entry
   * @param seeds control members to connect to first
   * @param memberPort port on which all control members listen
   * @param time source of the current time
   */
  public static EntryNode start(NodeId self, List<NodeId> seeds, int memberPort, TimeSource time) {
    return new EntryNode(
        self,
        seeds,
        MemberPorts.withoutFallback(memberPort),
        List.of(LeaderRequestController.create()),
        time);
  }

  /**
   * Starts an entry that uses fallback dispatchers and may be one itself.
   *
   * @param self identity of the entry
   * @param domain failure domain of the entry
   * @param mayDispatch whether the entry's machine can carry the load of a dispatcher
   * @param schedule settings of the scheduling
   * @param seeds control members to connect to first
   * @param ports ports on which control members and entries listen
   * @param time source of the current time
   */
  public static EntryNode startWithFallback(
      NodeId self,
      FailureDomain domain,
      boolean mayDispatch,
      ScheduleSettings schedule,
      List<NodeId> seeds,
      MemberPorts ports,
      TimeSource time) {
    return new EntryNode(
        self, seeds, ports, fallbackControllers(self, domain, mayDispatch, schedule), time);
  }

  private static List<Controller> fallbackControllers(
      NodeId self, FailureDomain domain, boolean mayDispatch, ScheduleSettings schedule) {
    return List.of(
        LeaderRequestController.withFallback(
            new EntryFallback(self, domain, mayDispatch, schedule.leaseExpiryTimeout())),
        FallbackController.create(self, schedule));
  }

  /** Returns the client that sends requests to the leader. */
  public LeaderClient leaderClient() {
    return leaderClient;
  }

  /** Returns whether a leader is known, or fallback dispatchers are used in its place. */
  public boolean isReady() {
    return leader.get() != null || usingFallback;
  }

  /** Returns the runtime of this process, with its connections and metrics. */
  public NodeRuntime runtime() {
    return runtime;
  }

  @Override
  public void close() {
    runtime.close();
  }

  private void perform(Effect effect) {
    if (effect instanceof RequestAnswered a) {
      leaderClient.onAnswered(a);
    } else if (effect instanceof LeaderViewChanged l) {
      leader.set(l.leader());
    } else if (effect instanceof DialFallback) {
      usingFallback = true;
    } else if (effect instanceof HangUpFallback) {
      usingFallback = false;
    }
  }
}
