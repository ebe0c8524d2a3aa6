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

  private EntryNode(NodeId self, List<NodeId> seeds, int memberPort, TimeSource time) {
    runtime = NodeRuntime.create(self, Incarnation.startedAt(time.now()), memberPort, time);
    leaderClient = new LeaderClient(time, runtime::post);
    runtime.start("desk", List.of(LeaderRequestController.create()), this::perform, TICK);
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
    return new EntryNode(self, seeds, memberPort, time);
  }

  /** Returns the client that sends requests to the leader. */
  public LeaderClient leaderClient() {
    return leaderClient;
  }

  /** Returns whether a leader is known. */
  public boolean isReady() {
    return leader.get() != null;
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
    }
  }
}
