package org.cassiastack.transport.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
import reactor.core.Disposable;

class PeerNetworkTest {
  private static final NodeId ENTRY = new NodeId("entry-1");
  private static final NodeId AGENT = new NodeId("agent-1");
  private static final PeerTimings SHORT_TIMINGS =
      new PeerTimings(
          Duration.ofMillis(50),
          Duration.ofMillis(400),
          Duration.ofMillis(10),
          Duration.ofMillis(50));

  private final RecordingListener entryListener = new RecordingListener();
  private final RecordingListener agentListener = new RecordingListener();
  private final PeerNetwork entry = network(ENTRY, Hello.PROTOCOL_VERSION, entryListener);
  private final PeerNetwork agent = network(AGENT, Hello.PROTOCOL_VERSION, agentListener);
  private final InetSocketAddress address = entry.listen(anyPort());

  @AfterEach
  void close_networks() {
    agent.close();
    entry.close();
  }

  @Test
  void messages_are_sent_in_both_directions_over_one_connection() throws Exception {
    connect(address);

    agent.send(ENTRY, new Welcome(AGENT, 1));
    entry.send(AGENT, new Welcome(ENTRY, 2));

    assertThat(entryListener.nextMessage()).isEqualTo(new Welcome(AGENT, 1));
    assertThat(agentListener.nextMessage()).isEqualTo(new Welcome(ENTRY, 2));
  }

  @Test
  void a_connection_that_is_hung_up_is_closed_and_not_dialed_again() throws Exception {
    Disposable dialing = agent.dial(address);
    assertThat(entryListener.nextConnectionEvent()).isEqualTo("connected agent-1");

    dialing.dispose();
    assertThat(entryListener.nextConnectionEvent()).isEqualTo("disconnected agent-1");
    Thread.sleep(SHORT_TIMINGS.maxRetryDelay().multipliedBy(4).toMillis());

    assertThat(entryListener.hasConnectionEvent()).isFalse();
  }

  @Test
  void a_message_to_an_unknown_peer_is_dropped() {
    assertThat(entry.send(new NodeId("nobody"), new Welcome(ENTRY, 1))).isFalse();
  }

  @Test
  void a_malformed_frame_closes_only_its_own_connection() throws Exception {
    connect(address);

    sendFrameAndAwaitClose(new byte[] {99, 99, 1, 2, 3});

    agent.send(ENTRY, new Welcome(AGENT, 1));
    assertThat(entryListener.nextMessage()).isEqualTo(new Welcome(AGENT, 1));
  }

  @Test
  void a_frame_over_the_maximum_size_closes_its_connection() throws Exception {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      byte[] header =
          ByteBuffer.allocate(Integer.BYTES).putInt(PeerNetwork.MAX_FRAME_BYTES + 1).array();
      socket.getOutputStream().write(header);

      awaitClose(socket);
    }
  }

  @Test
  void an_unsupported_protocol_version_is_refused() throws Exception {
    byte[] hello =
        MessageCodec.create()
            .encode(new Hello(Hello.PROTOCOL_VERSION + 1, AGENT, new Incarnation(1)));

    sendFrameAndAwaitClose(hello);

    assertThat(entry.send(AGENT, new Welcome(ENTRY, 1))).isFalse();
  }

  @Test
  void pings_keep_an_idle_connection_open() throws Exception {
    connect(address);

    try (Socket silent = new Socket(address.getAddress(), address.getPort())) {
      // The silent connection is closed after the idle timeout. The connection that only exchanges
      // pings has then been idle for at least as long.
      awaitClose(silent);
    }

    assertThat(agent.send(ENTRY, new Welcome(AGENT, 1))).isTrue();
    assertThat(entryListener.nextMessage()).isEqualTo(new Welcome(AGENT, 1));
  }

  @Test
  void a_connection_without_incoming_data_is_replaced_by_a_new_connection() throws Exception {
    try (BlackholeProxy proxy = new BlackholeProxy(address)) {
      connect(proxy.address());

      proxy.blackholeOpenConnections();

      assertThat(agentListener.nextConnectionEvent()).isEqualTo("disconnected entry-1");
      assertThat(agentListener.nextConnectionEvent()).isEqualTo("connected entry-1");
      agent.send(ENTRY, new Welcome(AGENT, 2));
      assertThat(entryListener.nextMessage()).isEqualTo(new Welcome(AGENT, 2));
    }
  }

  /** Guards against state that is kept for a process that restarted before its connection ended. */
  @Test
  void a_restarted_process_is_reported_as_disconnected_before_it_is_connected() throws Exception {
    try (Socket former = connectAs(new Incarnation(1))) {
      assertThat(entryListener.nextConnectionEvent()).isEqualTo("connected agent-1");

      try (Socket restarted = connectAs(new Incarnation(2))) {
        assertThat(entryListener.nextConnectionEvent()).isEqualTo("disconnected agent-1");
        assertThat(entryListener.nextConnectionEvent()).isEqualTo("connected agent-1");
        awaitClose(former);
        assertThat(restarted.isClosed()).isFalse();
      }
    }
  }

  @Test
  void a_connection_of_an_earlier_incarnation_that_is_read_late_is_refused() throws Exception {
    try (Socket restarted = connectAs(new Incarnation(2))) {
      assertThat(entryListener.nextConnectionEvent()).isEqualTo("connected agent-1");

      try (Socket former = connectAs(new Incarnation(1))) {
        awaitClose(former);
      }

      assertThat(entry.send(AGENT, new Welcome(ENTRY, 1))).isTrue();
      assertThat(restarted.isClosed()).isFalse();
    }
  }

  /** Guards against orders that are read after those that were sent over a later connection. */
  @Test
  void the_end_that_dials_reads_nothing_of_a_former_connection_after_the_next_one_is_open()
      throws Exception {
    MessageCodec codec = MessageCodec.create();
    byte[] hello = codec.encode(new Hello(Hello.PROTOCOL_VERSION, ENTRY, new Incarnation(1)));
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      agent.dial(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()));
      try (Socket former = server.accept()) {
        writeFrame(former, hello);
        assertThat(agentListener.nextConnectionEvent()).isEqualTo("connected entry-1");
        assertThat(agentListener.nextConnectionEvent()).isEqualTo("disconnected entry-1");

        try (Socket next = server.accept()) {
          writeFrame(next, hello);
          assertThat(agentListener.nextConnectionEvent()).isEqualTo("connected entry-1");
          writeFrame(former, codec.encode(new Welcome(ENTRY, 1)));
          writeFrame(next, codec.encode(new Welcome(ENTRY, 2)));

          assertThat(agentListener.nextMessage()).isEqualTo(new Welcome(ENTRY, 2));
        }
      }
    }
  }

  /** Shows why receivers on the listening end must not rely on the order of connections. */
  @Test
  void the_end_that_listens_reads_a_former_connection_until_it_is_closed() throws Exception {
    byte[] first = MessageCodec.create().encode(new Welcome(AGENT, 1));
    byte[] second = MessageCodec.create().encode(new Welcome(AGENT, 2));
    try (Socket former = connectAs(new Incarnation(1));
        Socket next = connectAs(new Incarnation(1))) {
      writeFrame(next, second);
      assertThat(entryListener.nextMessage()).isEqualTo(new Welcome(AGENT, 2));

      writeFrame(former, first);

      assertThat(entryListener.nextMessage()).isEqualTo(new Welcome(AGENT, 1));
    }
  }

  private Socket connectAs(Incarnation incarnation) throws Exception {
    Hello hello = new Hello(Hello.PROTOCOL_VERSION, AGENT, incarnation);
    return open(MessageCodec.create().encode(hello));
  }

  private void connect(InetSocketAddress to) throws InterruptedException {
    agent.dial(to);
    assertThat(agentListener.nextConnectionEvent()).isEqualTo("connected entry-1");
    assertThat(entryListener.nextConnectionEvent()).isEqualTo("connected agent-1");
  }

  private void sendFrameAndAwaitClose(byte[] frame) throws IOException {
    try (Socket socket = open(frame)) {
      awaitClose(socket);
    }
  }

  private Socket open(byte[] frame) throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    writeFrame(socket, frame);
    return socket;
  }

  private static void writeFrame(Socket socket, byte[] frame) throws IOException {
    ByteBuffer all = ByteBuffer.allocate(Integer.BYTES + frame.length);
    socket.getOutputStream().write(all.putInt(frame.length).put(frame).array());
  }

  private static void awaitClose(Socket socket) throws IOException {
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
    return PeerNetwork.create(hello, MessageCodec.create(), SHORT_TIMINGS, listener);
  }

  private static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }
}
