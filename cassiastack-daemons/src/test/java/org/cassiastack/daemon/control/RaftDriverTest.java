package org.cassiastack.daemon.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.cassiastack.consensus.CommandCommitted;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.Persist;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.consensus.RaftSettings;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.ControllerLoop;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RaftDriverTest {
  private static final NodeId NODE = new NodeId("c0");
  private static final RaftSettings SETTINGS =
      new RaftSettings(List.of(NODE), Duration.ofMillis(20), Duration.ofMillis(50), 64, 8, 1_000);

  @TempDir Path folder;

  @Test
  void a_committed_command_is_recovered_after_a_restart() throws Exception {
    CommandCommitted committed;
    try (Member first = new Member(folder)) {
      first.await(LeaderChanged.class, LeaderChanged::leading);
      first.loop.post(new ProposeCommand(new UUID(1, 2), Payload.ofText("north=out")));
      committed = first.await(CommandCommitted.class, c -> true);
    }

    try (Member second = new Member(folder)) {
      assertThat(second.await(CommandCommitted.class, c -> true)).isEqualTo(committed);
    }
  }

  private static final class Member implements AutoCloseable {
    final RaftDriver raft;
    final ControllerLoop loop;
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

    Member(Path folder) throws Exception {
      raft = RaftDriver.open(folder, NODE, SETTINGS, new Random(1));
      Controller recorder =
          (event, now) -> {
            events.add(event);
            return List.of();
          };
      loop =
          ControllerLoop.start(
              "control",
              List.of(raft.controller(), recorder),
              this::perform,
              TimeSource.system(),
              e -> events.add(new Failure(e)));
      raft.start(loop::post);
      loop.tickEvery(Duration.ofMillis(10));
    }

    <T extends Event> T await(Class<T> type, Predicate<T> condition) throws Exception {
      while (true) {
        Event e = events.poll(10, TimeUnit.SECONDS);
        assertThat(e).as("event of %s", type).isNotNull().isNotInstanceOf(Failure.class);
        if (type.isInstance(e) && condition.test(type.cast(e))) {
          return type.cast(e);
        }
      }
    }

    private void perform(Effect effect) {
      if (effect instanceof Persist p) {
        raft.persist(p);
      }
    }

    @Override
    public void close() {
      loop.close();
      raft.close();
    }
  }

  private record Failure(Throwable cause) implements Event {}
}
