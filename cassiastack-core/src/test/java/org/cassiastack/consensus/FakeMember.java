package org.cassiastack.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.UUID;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.protocol.Send;
import org.jspecify.annotations.Nullable;

/** An in-memory control process: a member, a state machine, a clock and a disk. */
final class FakeMember {
  private static final Duration TICK = Duration.ofMillis(20);
  private static final LeaderChanged NO_LEADER = new LeaderChanged(0, null, false);

  private final FakeCluster cluster;
  private final NodeId node;
  private final Random random;
  private final double clockRate;
  private final List<UUID> refused = new ArrayList<>();
  private final List<Event> deferredEvents = new ArrayList<>();
  private FakeDisk disk;
  private @Nullable RaftController controller;
  private int incarnation;
  private boolean paused;
  private boolean syncing;
  private String state = "";
  private LeaderChanged leaderView = NO_LEADER;
  private Instant leaseUntil = Instant.MIN;

  FakeMember(FakeCluster cluster, NodeId node, Random random, double clockRate) {
    this.cluster = cluster;
    this.node = node;
    this.random = random;
    this.clockRate = clockRate;
    this.disk = newDisk();
  }

  void start() {
    if (controller != null) {
      return;
    }
    incarnation++;
    state = "";
    leaderView = NO_LEADER;
    leaseUntil = Instant.MIN;
    syncing = false;
    paused = false;
    deferredEvents.clear();
    controller =
        RaftController.create(cluster.settings(), disk.recover(), new Random(random.nextLong()));
    scheduleTick(incarnation);
  }

  void crash() {
    controller = null;
    disk.crash(random.nextInt(disk.unsyncedWrites() + 1));
  }

  void loseDisk() {
    crash();
    disk = newDisk();
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    List<Event> events = List.copyOf(deferredEvents);
    deferredEvents.clear();
    events.forEach(this::on);
  }

  /**
   * Passes an event to the member unless it is down. A paused member gets the event on resuming.
   */
  void on(Event first) {
    if (paused) {
      deferredEvents.add(first);
      return;
    }
    Queue<Event> events = new ArrayDeque<>(List.of(first));
    for (Event e = events.poll(); e != null && controller != null; e = events.poll()) {
      applyToStateMachine(e, events);
      for (Effect f : controller.on(e, localNow())) {
        execute(f, events);
      }
    }
  }

  /** Passes an event to the member unless its process was restarted after the given incarnation. */
  void on(Event event, int targetIncarnation) {
    if (incarnation == targetIncarnation) {
      on(event);
    }
  }

  private void execute(Effect effect, Queue<Event> events) {
    if (effect instanceof Raise r) {
      events.add(r.event());
    } else if (effect instanceof Send s) {
      cluster.send(this, s);
    } else if (effect instanceof Persist p) {
      disk.write(p);
      startSync();
    }
  }

  private void startSync() {
    if (syncing) {
      return;
    }
    syncing = true;
    int startedIn = incarnation;
    cluster.after(
        Duration.ofMillis(1 + random.nextInt(8)),
        () -> {
          if (incarnation == startedIn && controller != null) {
            syncing = false;
            on(new Persisted(disk.sync()), startedIn);
          }
        });
  }

  private void applyToStateMachine(Event event, Queue<Event> events) {
    if (event instanceof CommandCommitted c) {
      state = Integer.toHexString((state + c.proposalId()).hashCode());
      cluster.invariants().checkApplied(c.index(), c.proposalId(), state);
      if (leaderView.leading()) {
        cluster.invariants().checkNoOtherLease(this, cluster.members());
      }
    } else if (event instanceof SnapshotRestored s) {
      state = s.state().toText();
    } else if (event instanceof SnapshotRequested w) {
      events.add(new SnapshotTaken(w.index(), Payload.ofText(state)));
    } else if (event instanceof LeaderChanged c) {
      leaderView = c;
    } else if (event instanceof LeaseExtended l) {
      leaseUntil = l.until();
    } else if (event instanceof ProposalRefused r) {
      refused.add(r.proposalId());
    }
  }

  private void scheduleTick(int targetIncarnation) {
    cluster.after(
        TICK,
        () -> {
          if (incarnation == targetIncarnation && controller != null) {
            if (!paused && !controller.nextTickAt(localNow()).isAfter(localNow())) {
              on(new Tick());
            }
            scheduleTick(targetIncarnation);
          }
        });
  }

  private FakeDisk newDisk() {
    return new FakeDisk(node, new UUID(random.nextLong(), random.nextLong()));
  }

  Instant localNow() {
    long nanos = Math.round(cluster.elapsed().toNanos() * clockRate);
    return FakeCluster.START.plusNanos(nanos);
  }

  NodeId node() {
    return node;
  }

  FakeDisk disk() {
    return disk;
  }

  int incarnation() {
    return incarnation;
  }

  boolean isUp() {
    return controller != null;
  }

  String state() {
    return state;
  }

  LeaderChanged leaderView() {
    return leaderView;
  }

  Instant leaseUntil() {
    return leaseUntil;
  }

  List<UUID> refused() {
    return refused;
  }
}
