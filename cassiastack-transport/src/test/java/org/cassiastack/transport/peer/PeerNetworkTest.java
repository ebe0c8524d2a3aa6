package org.cassiastack.transport.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Hello;
import org.cassiastack.protocol.Welcome;
import org.cassiastack.transport.codec.MessageCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerNetworkTest {
  private static final NodeId ENTRY = new NodeId("entry-1");
  private static final NodeId AGENT = new NodeId("agent-1");
  private static final PeerTimings QUICK =
      new PeerTimings(
          Duration.ofMillis(50),
          Duration.ofMillis(400),
          Duration.ofMillis(10),
          Duration.ofMillis(50));

  private final RecordingListener atEntry = new RecordingListener();
  private final RecordingListener atAgent = new RecordingListener();
  private final PeerNetwork entry = network(ENTRY, Hello.PROTOCOL_VERSION, atEntry);
  private final PeerNetwork agent = network(AGENT, Hello.PROTOCOL_VERSION, atAgent);
  private final InetSocketAddress address = entry.listen(anyPort());

  @AfterEach
  void close_networks() {
    agent.close();
    entry.close();
  }

  @Test
  void messages_pass_in_both_directions_over_one_connection() throws Exception {
    connect(address);

    agent.send(ENTRY, new Welcome(AGENT, 1));
    entry.send(AGENT, new Welcome(ENTRY, 2));

    assertThat(atEntry.nextMessage()).isEqualTo(new Welcome(AGENT, 1));
    assertThat(atAgent.nextMessage()).isEqualTo(new Welcome(ENTRY, 2));
  }

  @Test
  void a_message_to_an_unknown_peer_is_dropped() {
    assertThat(entry.send(new NodeId("nobody"), new Welcome(ENTRY, 1))).isFalse();
  }

  @Test
  void a_garbage_frame_closes_its_own_connection_and_disturbs_no_other() throws Exception {
    connect(address);

    sendAndAwaitEnd(new byte[] {99, 99, 1, 2, 3});

    agent.send(ENTRY, new Welcome(AGENT, 1));
    assertThat(atEntry.nextMessage()).isEqualTo(new Welcome(AGENT, 1));
  }

  @Test
  void a_frame_longer_than_allowed_closes_its_connection() throws Exception {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      byte[] header =
          ByteBuffer.allocate(Integer.BYTES).putInt(PeerNetwork.MAX_FRAME_BYTES + 1).array();
      socket.getOutputStream().write(header);

      awaitEnd(socket);
    }
  }

  @Test
  void another_protocol_version_is_refused() throws Exception {
    byte[] hello =
        MessageCodec.create()
            .encode(new Hello(Hello.PROTOCOL_VERSION + 1, AGENT, new Incarnation(1)));

    sendAndAwaitEnd(hello);

    assertThat(entry.send(AGENT, new Welcome(ENTRY, 1))).isFalse();
  }

  @Test
  void an_idle_connection_stays_open_through_pings() throws Exception {
    connect(address);

    try (Socket silent = new Socket(address.getAddress(), address.getPort())) {
      // The silent one is closed after the limit; by then the idle one has lived as long.
      awaitEnd(silent);
    }

    assertThat(agent.send(ENTRY, new Welcome(AGENT, 1))).isTrue();
    assertThat(atEntry.nextMessage()).isEqualTo(new Welcome(AGENT, 1));
  }

  @Test
  void a_connection_that_went_silent_is_replaced_while_new_ones_work() throws Exception {
    try (BlackholeProxy proxy = new BlackholeProxy(address)) {
      connect(proxy.address());

      proxy.blackholeOpenConnections();

      assertThat(atAgent.nextConnectionEvent()).isEqualTo("disconnected entry-1");
      assertThat(atAgent.nextConnectionEvent()).isEqualTo("connected entry-1");
      agent.send(ENTRY, new Welcome(AGENT, 2));
      assertThat(atEntry.nextMessage()).isEqualTo(new Welcome(AGENT, 2));
    }
  }

  private void connect(InetSocketAddress to) throws InterruptedException {
    agent.dial(to);
    assertThat(atAgent.nextConnectionEvent()).isEqualTo("connected entry-1");
    assertThat(atEntry.nextConnectionEvent()).isEqualTo("connected agent-1");
  }

  private void sendAndAwaitEnd(byte[] frame) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      ByteBuffer all = ByteBuffer.allocate(Integer.BYTES + frame.length);
      socket.getOutputStream().write(all.putInt(frame.length).put(frame).array());
      awaitEnd(socket);
    }
  }

  private static void awaitEnd(Socket socket) throws IOException {
    socket.setSoTimeout((int) Duration.ofSeconds(20).toMillis());
    byte[] buffer = new byte[1_024];
    try {
      int n = socket.getInputStream().read(buffer);
      while (n >= 0) {
        n = socket.getInputStream().read(buffer);
      }
    } catch (SocketException reset) {
      assertThat(reset).hasMessageContaining("reset");
    }
  }

  private static PeerNetwork network(NodeId self, int version, PeerListener listener) {
    Hello hello = new Hello(version, self, new Incarnation(1));
    return PeerNetwork.create(hello, MessageCodec.create(), QUICK, listener);
  }

  private static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }
}
