package org.cassiastack.daemon.queue;

import java.time.Duration;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.request.LeaderNoticeRelay;
import org.cassiastack.request.LeaderRequestController;
import org.cassiastack.request.LoglessSeed;
import org.cassiastack.request.RequestAnswered;

/**
 * A control process without storage. It forwards operators' requests to the leader, and if it is a
 * seed, other processes find the control members through it. It is not a member of the replicated
 * log and holds no state that must survive a restart.
 *
 * @since 0.3
 */
public final class OperatorNode implements AutoCloseable {
  /** Tick interval. It bounds the delay with which passed deadlines of requests are handled. */
  private static final Duration TICK = Duration.ofMillis(25);

  private final NodeRuntime runtime;
  private final LeaderClient leaderClient;

  private OperatorNode(
      NodeId self, List<NodeId> seeds, int memberPort, boolean firstStart, TimeSource time) {
    runtime =
        NodeRuntime.create(
            self, Incarnation.startedAt(time.now()), MemberPorts.withoutFallback(memberPort), time);
    leaderClient = new LeaderClient(time, runtime::post);
    runtime.start(
        "operators",
        List.of(
            LeaderRequestController.create(),
            LeaderNoticeRelay.create(),
            LoglessSeed.create(self, seeds, firstStart)),
        this::perform,
        TICK);
    runtime.listen();
    runtime.dial(seeds);
  }

  /**
   * Starts a control process without storage.
   *
   * @param self identity of the process; its name is the IP address of the machine
   * @param seeds control processes to connect to first
   * @param memberPort port on which all control processes listen
   * @param firstStart whether this is the very first start of the system
   * @param time source of the current time
   */
  public static OperatorNode start(
      NodeId self, List<NodeId> seeds, int memberPort, boolean firstStart, TimeSource time) {
    return new OperatorNode(self, seeds, memberPort, firstStart, time);
  }

  /** Returns the client that sends requests to the leader. */
  public LeaderClient leaderClient() {
    return leaderClient;
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
    }
  }
}
