package org.cassiastack.daemon.queue;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cassiastack.consensus.HandLeadershipOver;
import org.cassiastack.consensus.JoinPolicy;
import org.cassiastack.consensus.Persist;
import org.cassiastack.consensus.RaftSettings;
import org.cassiastack.consensus.StorageFailed;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.control.RaftDriver;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.request.LeaderRequestController;
import org.cassiastack.request.LeaderViewChanged;
import org.cassiastack.request.RequestAnswered;
import org.cassiastack.schedule.LeaderController;
import org.cassiastack.transport.codec.MessagePackLedgerCodec;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * A control member, which stores the replicated job ledger on its disk and may become the leader.
 *
 * @since 0.2
 */
public final class ControlNode implements AutoCloseable {
  /**
   * Tick interval. It bounds the delay with which election timeouts, leases and ready tasks are
   * handled.
   */
  private static final Duration TICK = Duration.ofMillis(20);

  /** Interval between heartbeats of the leader. Five missed heartbeats cause an election. */
  private static final Duration HEARTBEAT = Duration.ofMillis(60);

  /**
   * Minimum time without contact to the leader before an election starts. A round trip between
   * failure domains and a tick together take a tenth of this timeout. Heartbeats do not wait for
   * disk writes.
   */
  private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(300);

  /** Time without a reply after which a voter may be removed or replaced by another member. */
  private static final Duration VOTER_TIMEOUT = Duration.ofMillis(2_500);

  private static final int MAX_BATCH_ENTRIES = 256;
  private static final int MAX_IN_FLIGHT_MESSAGES = 8;

  /** Maximum number of log entries between snapshots; the settings bound their size in bytes. */
  private static final long SNAPSHOT_THRESHOLD = 4_096;

  /** Maximum wait of a planned stop for a successor. An election among live members takes 50 ms. */
  private static final Duration LEADERSHIP_TRANSFER_TIMEOUT = Duration.ofMillis(500);

  private final NodeId self;
  private final NodeRuntime runtime;
  private final RaftDriver raft;
  private final LeaderClient leaderClient;
  private final CountDownLatch successorKnown = new CountDownLatch(1);
  private volatile @Nullable NodeId leader;
  private volatile boolean stopping;

  private ControlNode(ControlNodeSettings settings, TimeSource time, Runnable onStorageFailed)
      throws IOException {
    self = settings.self();
    raft = RaftDriver.open(settings.dataFolder(), self, raftSettings(settings), new SecureRandom());
    runtime =
        NodeRuntime.create(
            self,
            Incarnation.startedAt(time.now()),
            MemberPorts.withoutFallback(settings.memberPort()),
            time);
    leaderClient = new LeaderClient(time, runtime::post);
    LeaderController leaderController =
        LeaderController.create(
            self, settings.schedule(), MessagePackLedgerCodec.create(), UUID::randomUUID);
    runtime.start(
        "control",
        List.of(raft.controller(), leaderController, LeaderRequestController.create()),
        this::perform,
        TICK);
    raft.start(
        e -> {
          runtime.post(e);
          if (e instanceof StorageFailed) {
            onStorageFailed.run();
          }
        });
    runtime.listen();
    runtime.dial(settings.seeds());
  }

  /**
   * Starts a control member.
   *
   * @param settings identity, seeds and data folder of the member, and the leader's scheduling
   * @param time source of the current time
   * @param onStorageFailed called on the storage thread when a write to the disk has failed. The
   *     member then takes no further part in the replicated log until its process is restarted
   * @throws IOException if the data folder is damaged, in use or not writable
   */
  public static ControlNode start(
      ControlNodeSettings settings, TimeSource time, Runnable onStorageFailed) throws IOException {
    return new ControlNode(settings, time, onStorageFailed);
  }

  /** Returns the client that sends requests to the leader. */
  public LeaderClient leaderClient() {
    return leaderClient;
  }

  /** Returns the node of the leader, or null while no leader is known. */
  public @Nullable NodeId leader() {
    return leader;
  }

  /** Returns the runtime of this process, with its connections and metrics. */
  public NodeRuntime runtime() {
    return runtime;
  }

  /**
   * Prepares a planned stop. A leader transfers its leadership to another member, and the call
   * returns once this process knows the new leader, at the latest after 500 ms. A member that is
   * not the leader returns at once.
   *
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public void transferLeadership() throws InterruptedException {
    stopping = true;
    if (!self.equals(leader)) {
      return;
    }
    runtime.post(new HandLeadershipOver());
    boolean inTime =
        successorKnown.await(LEADERSHIP_TRANSFER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    Logger.info("event=leadership_handed_over successor={} in_time={}", leader, inTime);
  }

  @Override
  public void close() {
    runtime.close();
    raft.close();
  }

  private static RaftSettings raftSettings(ControlNodeSettings settings) {
    JoinPolicy joinPolicy =
        JoinPolicy.unlistedAllowed(
            settings.firstStart(), 2 * settings.toleratedLosses() + 1, VOTER_TIMEOUT);
    return new RaftSettings(
        settings.seeds(),
        HEARTBEAT,
        ELECTION_TIMEOUT,
        MAX_BATCH_ENTRIES,
        MAX_IN_FLIGHT_MESSAGES,
        SNAPSHOT_THRESHOLD,
        settings.maxLogBytes(),
        joinPolicy);
  }

  private void perform(Effect effect) {
    if (effect instanceof Persist p) {
      raft.persist(p);
    } else if (effect instanceof RequestAnswered a) {
      leaderClient.onAnswered(a);
    } else if (effect instanceof LeaderViewChanged l) {
      leader = l.leader();
      if (stopping && l.leader() != null && !self.equals(l.leader())) {
        successorKnown.countDown();
      }
    }
  }
}
