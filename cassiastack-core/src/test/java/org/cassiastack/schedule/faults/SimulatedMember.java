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

/** A control member with a disk in memory. */
final class SimulatedMember extends SimulatedNode {
  private static final int SYNC_MILLIS = 9;
  private static final int SNAPSHOT_ENTRIES = 30;

  private FakeDisk disk;
  private boolean syncing;
  private boolean firstStart = true;

  SimulatedMember(QueueSimulation world, String name) {
    super(world, name);
    disk = newDisk();
  }

  @Override
  List<Controller> createControllers() {
    syncing = false;
    List<NodeId> seeds = List.of(new NodeId("m0"), new NodeId("m1"), new NodeId("m2"));
    JoinPolicy joining = JoinPolicy.unlistedAllowed(firstStart, 3, Duration.ofMillis(2_500));
    firstStart = false;
    RaftSettings settings =
        new RaftSettings(
            seeds,
            Duration.ofMillis(100),
            Duration.ofMillis(800),
            64,
            8,
            SNAPSHOT_ENTRIES,
            joining);
    Random own = new Random(world.random().nextLong());
    return List.of(
        RaftController.create(settings, disk.recover(), own),
        LeaderController.create(
            node, QueueSimulation.SCHEDULE_SETTINGS, world.codec(), () -> uuid(own)),
        LeaderRequestController.create());
  }

  @Override
  void perform(Effect effect) {
    if (effect instanceof Persist p) {
      disk.write(p);
      sync();
    }
  }

  /** Loses what is not synced, as a loss of power does. */
  void crashDisk() {
    disk.crash(world.random().nextInt(disk.unsyncedWrites() + 1));
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
    int life = incarnation();
    FakeDisk written = disk;
    world.after(
        SYNC_MILLIS,
        () -> {
          if (life != incarnation() || !isUp() || written != disk) {
            return;
          }
          syncing = false;
          long last = disk.sync();
          on(new Persisted(last), life);
          if (disk.unsyncedWrites() > 0) {
            sync();
          }
        });
  }

  private FakeDisk newDisk() {
    return new FakeDisk(node, uuid(world.random()));
  }

  private static UUID uuid(Random random) {
    return new UUID(random.nextLong(), random.nextLong());
  }
}
