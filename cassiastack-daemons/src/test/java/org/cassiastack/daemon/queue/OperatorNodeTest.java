package org.cassiastack.daemon.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.cassiastack.consensus.RaftSettings;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.model.NodeId;
import org.cassiastack.schedule.ScheduleSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class OperatorNodeTest {
  private static final int POLL_MILLIS = 10;
  private static final ScheduleSettings SCHEDULE_SETTINGS =
      ScheduleSettings.of(Duration.ofSeconds(1), Duration.ofMillis(150), Duration.ofMinutes(2));
  private static final NodeId FIRST = new NodeId("127.0.0.1");
  private static final NodeId SECOND = new NodeId("127.0.0.2");
  private static final NodeId THIRD = new NodeId("127.0.0.3");

  @TempDir private Path folder;
  private final List<AutoCloseable> nodes = new ArrayList<>();
  private int port;

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable n : nodes) {
      n.close();
    }
  }

  @Test
  void a_system_starts_although_one_of_its_seeds_has_no_storage() throws Exception {
    port = freePort();
    List<NodeId> seeds = List.of(FIRST, SECOND);
    startWithoutStorage(FIRST, seeds);
    ControlNode second = startMember(SECOND, seeds);
    ControlNode third = startMember(THIRD, seeds);

    awaitCondition(() -> SECOND.equals(second.leader()) && SECOND.equals(third.leader()));

    assertThat(third.leader()).isEqualTo(SECOND);
  }

  @Test
  void a_system_starts_although_none_of_its_seeds_has_storage() throws Exception {
    port = freePort();
    List<NodeId> seeds = List.of(FIRST);
    startWithoutStorage(FIRST, seeds);
    ControlNode second = startMember(SECOND, seeds);
    ControlNode third = startMember(THIRD, seeds);
    EntryNode entry =
        EntryNode.start(new NodeId("127.0.0.4/entry"), seeds, port, TimeSource.system());
    nodes.add(entry);

    awaitCondition(() -> second.leader() != null && third.leader() != null && entry.isReady());

    assertThat(second.leader()).isEqualTo(third.leader());
  }

  private void startWithoutStorage(NodeId node, List<NodeId> seeds) {
    nodes.add(OperatorNode.start(node, seeds, port, true, TimeSource.system()));
  }

  private ControlNode startMember(NodeId node, List<NodeId> seeds) throws IOException {
    ControlNodeSettings settings =
        new ControlNodeSettings(
            node,
            seeds,
            port,
            folder.resolve(node.name()),
            true,
            1,
            SCHEDULE_SETTINGS,
            RaftSettings.DEFAULT_SNAPSHOT_THRESHOLD_BYTES);
    ControlNode started = ControlNode.start(settings, TimeSource.system(), () -> {});
    nodes.add(started);
    return started;
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  private static void awaitCondition(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(POLL_MILLIS);
    }
  }
}
