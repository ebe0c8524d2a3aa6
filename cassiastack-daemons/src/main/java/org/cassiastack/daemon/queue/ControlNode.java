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
 * A control member: it keeps the ledger on its disk, and may lead.
 *
 * @since 0.2
 */
public final class ControlNode implements AutoCloseable {
  /** How finely elections, leases and ready tasks are kept. */
  private static final Duration TICK = Duration.ofMillis(20);

  /** Five of these missed make an election. */
  private static final Duration HEARTBEAT = Duration.ofMillis(60);

  /**
   * Shortest silence of a leader before another is elected. A round trip between failure domains
   * and a tick take a tenth of it; heartbeats do not wait for disks.
   */
  private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(300);

  /** A voter that is silent for so long makes room for another. */
  private static final Duration VOTER_SILENCE = Duration.ofMillis(2_500);

  private static final int BATCH_ENTRIES = 256;
  private static final int WINDOW_MESSAGES = 8;

  /** Entries between snapshots; at a kilobyte an entry the log stays under a tenth of the disk. */
  private static final long SNAPSHOT_ENTRIES = 4_096;

  /** How long a planned stop waits for a successor; an election among live members takes 50 ms. */
  private static final Duration HANDOVER = Duration.ofMillis(500);

  private final NodeId self;
  private final NodeRuntime runtime;
  private final RaftDriver raft;
  private final LeaderClient leaderClient;
  private final CountDownLatch succeeded = new CountDownLatch(1);
  private volatile @Nullable NodeId leader;
  private volatile boolean stopping;

  private ControlNode(ControlNodeSettings settings, TimeSource time, Runnable storageLost)
      throws IOException {
    self = settings.self();
    raft = RaftDriver.open(settings.dataFolder(), self, raftSettings(settings), new SecureRandom());
    runtime =
        NodeRuntime.create(self, Incarnation.startedAt(time.now()), settings.memberPort(), time);
    leaderClient = new LeaderClient(time, runtime::post);
    LeaderController leader =
        LeaderController.create(
            self, settings.schedule(), MessagePackLedgerCodec.create(), UUID::randomUUID);
    runtime.start(
        "control",
        List.of(raft.controller(), leader, LeaderRequestController.create()),
        this::carryOut,
        TICK);
    raft.start(
        e -> {
          runtime.post(e);
          if (e instanceof StorageFailed) {
            storageLost.run();
          }
        });
    runtime.listen();
    runtime.dial(settings.seeds());
  }

  /**
   * Starts a control member.
   *
   * @param settings its settings
   * @param time tells the time
   * @param storageLost is told, on the storage thread, when the disk takes no more writes: the
   *     member takes no further part until its process starts again
   * @throws IOException when its data folder is damaged or cannot be written
   */
  public static ControlNode start(
      ControlNodeSettings settings, TimeSource time, Runnable storageLost) throws IOException {
    return new ControlNode(settings, time, storageLost);
  }

  /** Returns where the leader is asked. */
  public LeaderClient leaderClient() {
    return leaderClient;
  }

  /** Returns the member that leads, or null while none is known. */
  public @Nullable NodeId leader() {
    return leader;
  }

  /** Returns what all kinds of nodes have. */
  public NodeRuntime runtime() {
    return runtime;
  }

  /**
   * Prepares a planned stop: a leader lets another member take over, and stays until that one is
   * known to everybody.
   *
   * @throws InterruptedException when the thread is interrupted while it waits
   */
  public void transferLeadership() throws InterruptedException {
    stopping = true;
    if (!self.equals(leader)) {
      return;
    }
    runtime.post(new HandLeadershipOver());
    boolean done = succeeded.await(HANDOVER.toMillis(), TimeUnit.MILLISECONDS);
    Logger.info("event=leadership_handed_over successor={} in_time={}", leader, done);
  }

  @Override
  public void close() {
    runtime.close();
    raft.close();
  }

  private static RaftSettings raftSettings(ControlNodeSettings settings) {
    JoinPolicy joining =
        JoinPolicy.unlistedAllowed(
            settings.firstStart(), 2 * settings.toleratedLosses() + 1, VOTER_SILENCE);
    return new RaftSettings(
        settings.seeds(),
        HEARTBEAT,
        ELECTION_TIMEOUT,
        BATCH_ENTRIES,
        WINDOW_MESSAGES,
        SNAPSHOT_ENTRIES,
        joining);
  }

  private void carryOut(Effect effect) {
    if (effect instanceof Persist p) {
      raft.persist(p);
    } else if (effect instanceof RequestAnswered a) {
      leaderClient.onAnswered(a);
    } else if (effect instanceof LeaderViewChanged l) {
      leader = l.leader();
      if (stopping && l.leader() != null && !self.equals(l.leader())) {
        succeeded.countDown();
      }
    }
  }
}
