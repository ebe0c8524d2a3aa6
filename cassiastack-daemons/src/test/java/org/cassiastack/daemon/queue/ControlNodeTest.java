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
class ControlNodeTest {
  private static final int POLL_MILLIS = 10;
  private static final ScheduleSettings SCHEDULE_SETTINGS =
      ScheduleSettings.of(Duration.ofSeconds(1), Duration.ofMillis(150), Duration.ofMinutes(2));
  private static final List<NodeId> MEMBERS =
      List.of(new NodeId("127.0.0.1"), new NodeId("127.0.0.2"), new NodeId("127.0.0.3"));

  @TempDir private Path folder;
  private final List<ControlNode> nodes = new ArrayList<>();

  @AfterEach
  void close() {
    nodes.forEach(ControlNode::close);
  }

  @Test
  void a_leader_that_is_about_to_stop_transfers_its_leadership() throws Exception {
    startAllMembers();
    awaitCondition(() -> nodes.stream().allMatch(n -> n.leader() != null));
    NodeId formerLeader = nodes.get(0).leader();
    ControlNode leader = nodes.get(MEMBERS.indexOf(formerLeader));

    leader.transferLeadership();

    awaitCondition(
        () -> nodes.stream().allMatch(n -> n.leader() != null && !formerLeader.equals(n.leader())));
    assertThat(nodes.get(0).leader()).isNotNull().isNotEqualTo(formerLeader);
  }

  private void startAllMembers() throws IOException {
    int port = freePort();
    for (NodeId n : MEMBERS) {
      Path dataFolder = folder.resolve(n.name());
      ControlNodeSettings settings =
          new ControlNodeSettings(
              n,
              MEMBERS,
              port,
              dataFolder,
              true,
              1,
              SCHEDULE_SETTINGS,
              RaftSettings.DEFAULT_SNAPSHOT_THRESHOLD_BYTES);
      nodes.add(ControlNode.start(settings, TimeSource.system(), () -> {}));
    }
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
