package org.cassiastack.schedule.faults;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import org.cassiastack.consensus.FakeDisk;
import org.cassiastack.consensus.JoinPolicy;
import org.cassiastack.consensus.Persist;
import org.cassiastack.consensus.Persisted;
import org.cassiastack.consensus.RaftController;
import org.cassiastack.consensus.RaftSettings;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;
import org.cassiastack.request.LeaderRequestController;
import org.cassiastack.schedule.LeaderController;

/** A control member whose disk is simulated in memory. */
final class SimulatedMember extends SimulatedNode {
  private static final int SYNC_MILLIS = 9;
  private static final int ENTRIES_PER_SNAPSHOT = 30;

  private FakeDisk disk;
  private boolean syncing;
  private boolean firstStart = true;
  private LedgerObserver observer;

  SimulatedMember(QueueSimulation simulation, String name) {
    super(simulation, name);
    disk = newDisk();
    observer = new LedgerObserver(simulation.codec());
  }

  /** Returns the observer of the member's ledger in its last incarnation. */
  LedgerObserver observer() {
    return observer;
  }

  @Override
  List<Controller> createControllers() {
    syncing = false;
    List<NodeId> seeds = List.of(new NodeId("m0"), new NodeId("m1"), new NodeId("m2"));
    JoinPolicy joinPolicy = JoinPolicy.unlistedAllowed(firstStart, 3, Duration.ofMillis(2_500));
    firstStart = false;
    RaftSettings settings =
        new RaftSettings(
            seeds,
            Duration.ofMillis(100),
            Duration.ofMillis(800),
            64,
            8,
            ENTRIES_PER_SNAPSHOT,
            RaftSettings.DEFAULT_SNAPSHOT_THRESHOLD_BYTES,
            joinPolicy);
    observer = new LedgerObserver(simulation.codec());
    Random memberRandom = new Random(simulation.random().nextLong());
    return List.of(
        RaftController.create(settings, disk.recover(), memberRandom),
        observer,
        LeaderController.create(
            node, simulation.scheduleSettings(), simulation.codec(), () -> uuid(memberRandom)),
        LeaderRequestController.create());
  }

  @Override
  void perform(Effect effect) {
    if (effect instanceof Persist p) {
      disk.write(p);
      sync();
    }
  }

  /** Loses a random part of the unsynced writes, as a power failure does. */
  void crashDisk() {
    disk.crash(simulation.random().nextInt(disk.unsyncedWrites() + 1));
  }

  void loseDisk() {
    kill();
    disk = newDisk();
  }

  private void sync() {
    if (syncing) {
      return;
    }
    syncing = true;
    int syncIncarnation = incarnation();
    FakeDisk syncedDisk = disk;
    simulation.runAfter(
        SYNC_MILLIS,
        () -> {
          if (syncIncarnation != incarnation() || !isUp() || syncedDisk != disk) {
            return;
          }
          syncing = false;
          long last = disk.sync();
          on(new Persisted(last), syncIncarnation);
          if (disk.unsyncedWrites() > 0) {
            sync();
          }
        });
  }

  private FakeDisk newDisk() {
    return new FakeDisk(node, uuid(simulation.random()));
  }

  private static UUID uuid(Random random) {
    return new UUID(random.nextLong(), random.nextLong());
  }
}
