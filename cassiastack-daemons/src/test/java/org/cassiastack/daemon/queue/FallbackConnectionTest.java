package org.cassiastack.daemon.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.request.DialFallback;
import org.cassiastack.request.HangUpFallback;
import org.cassiastack.schedule.ScheduleSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class FallbackConnectionTest {
  private static final long MAX_WAIT_SECONDS = 20;
  private static final NodeId ENTRY = new NodeId("127.0.0.1/entry");
  private static final NodeId AGENT = new NodeId("127.0.0.2/agent");

  private final BlockingQueue<Event> connectionEvents = new LinkedBlockingQueue<>();
  private EntryNode entry;
  private NodeRuntime agent;

  @BeforeEach
  void start() throws IOException {
    MemberPorts ports = new MemberPorts(freePort(), freePort());
    ScheduleSettings schedule =
        ScheduleSettings.of(Duration.ofSeconds(1), Duration.ofMillis(150), Duration.ofMinutes(2));
    entry =
        EntryNode.startWithFallback(
            ENTRY, new FailureDomain("a"), true, schedule, List.of(), ports, TimeSource.system());
    agent = NodeRuntime.create(AGENT, new Incarnation(1), ports, TimeSource.system());
    agent.start("agent", List.of(new Requester()), effect -> {}, Duration.ofMillis(25));
  }

  @AfterEach
  void close() {
    agent.close();
    entry.close();
  }

  /** Guards against connections that cost something while there is a leader. */
  @Test
  void a_process_is_connected_to_an_entry_only_from_dialing_to_hanging_up() throws Exception {
    agent.post(new Request(new DialFallback(List.of(ENTRY))));
    Event first = nextConnectionEvent();
    agent.post(new Request(new HangUpFallback()));
    Event second = nextConnectionEvent();
    agent.post(new Request(new DialFallback(List.of(ENTRY))));
    Event third = nextConnectionEvent();

    assertThat(first).isEqualTo(new PeerConnected(ENTRY));
    assertThat(second).isEqualTo(new PeerDisconnected(ENTRY));
    assertThat(third).isEqualTo(new PeerConnected(ENTRY));
  }

  private Event nextConnectionEvent() throws InterruptedException {
    Event next = connectionEvents.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    if (next == null) {
      throw new AssertionError("no event within the maximum wait");
    }
    return next;
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }

  private record Request(Effect effect) implements Event {}

  /** Returns the requested effects and records the changes of connections. */
  private final class Requester implements Controller {
    @Override
    public List<Effect> on(Event event, Instant now) {
      if (event instanceof PeerConnected || event instanceof PeerDisconnected) {
        connectionEvents.add(event);
      }
      return event instanceof Request r ? List.of(r.effect()) : List.of();
    }
  }
}
