package org.cassiastack.daemon.queue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.request.LeaderRequestController;
import org.cassiastack.request.LeaderViewChanged;
import org.cassiastack.request.RequestAnswered;
import org.jspecify.annotations.Nullable;

/**
 * A process that hands callers' requests to the leader and holds no state that matters.
 *
 * @since 0.2
 */
public final class EntryNode implements AutoCloseable {
  /** How finely deadlines of requests are kept. */
  private static final Duration TICK = Duration.ofMillis(25);

  private final NodeRuntime runtime;
  private final LeaderClient leaderClient;
  private final AtomicReference<@Nullable NodeId> leader = new AtomicReference<>();

  private EntryNode(NodeId self, List<NodeId> seeds, int memberPort, TimeSource time) {
    runtime = NodeRuntime.create(self, Incarnation.startedAt(time.now()), memberPort, time);
    leaderClient = new LeaderClient(time, runtime::post);
    runtime.start("desk", List.of(LeaderRequestController.create()), this::carryOut, TICK);
    runtime.dial(seeds);
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
  public LeaderClient leaderClient() {
    return leaderClient;
  }

  /** Tells whether a leader is known. */
  public boolean isReady() {
    return leader.get() != null;
  }

  /** Returns what all kinds of nodes have. */
  public NodeRuntime runtime() {
    return runtime;
  }

  @Override
  public void close() {
    runtime.close();
  }

  private void carryOut(Effect effect) {
    if (effect instanceof RequestAnswered a) {
      leaderClient.onAnswered(a);
    } else if (effect instanceof LeaderViewChanged l) {
      leader.set(l.leader());
    }
  }
}
