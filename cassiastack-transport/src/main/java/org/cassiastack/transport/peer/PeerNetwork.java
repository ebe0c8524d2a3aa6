package org.cassiastack.transport.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.resolver.DefaultAddressResolverGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Hello;
import org.cassiastack.protocol.Message;
import org.cassiastack.transport.codec.MessageCodec;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.netty.DisposableServer;
import reactor.netty.NettyInbound;
import reactor.netty.NettyOutbound;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;
import reactor.util.retry.Retry;

/**
 * The connections of a process to other processes.
 *
 * <ol>
 *   <li>{@link #listen} accepts connections; {@link #dial} maintains a connection to an address.
 *   <li>Each end sends a ping when it has sent nothing for {@link PeerTimings#pingInterval}. A
 *       connection without incoming data for {@link PeerTimings#idleTimeout} is closed, and the end
 *       that dialed the connection opens a new connection.
 *   <li>{@link #send} uses the newest connection to a process. Delivery is not guaranteed.
 *   <li>All connections to a process are to one incarnation. When a later one connects, the
 *       listener is told that the process has disconnected and connected again.
 *   <li>The size of frames is limited. A malformed frame closes the connection on which it arrives
 *       and does not affect other connections.
 * </ol>
 *
 * @since 0.1
 */
public final class PeerNetwork implements AutoCloseable {
  /** Maximum size of a frame in bytes, including its length field. */
  public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  static final int LENGTH_BYTES = 4;
  private static final int MAX_BUFFERED_BYTES = 64 * 1024 * 1024;
  private static final int FLUSH_AFTER_WRITES = 64;

  private final Hello hello;
  private final MessageCodec codec;
  private final PeerTimings timings;
  private final PeerListener listener;
  private final Map<NodeId, CopyOnWriteArrayList<PeerConnection>> connections =
      new ConcurrentHashMap<>();
  private final Disposable.Composite resources = Disposables.composite();
  private final PeerTraffic traffic = new PeerTraffic();
  private final Set<PeerConnection> openConnections = ConcurrentHashMap.newKeySet();

  private PeerNetwork(Hello hello, MessageCodec codec, PeerTimings timings, PeerListener listener) {
    this.timings = timings;
    this.hello = hello;
    this.codec = codec;
    this.listener = listener;
  }

  /**
   * Creates a network without connections.
   *
   * @param hello message that this process sends first on each connection
   * @param codec encodes and decodes messages
   * @param timings timeouts and retry delays of connections
   * @param listener receives messages and the changes of connections
   */
  public static PeerNetwork create(
      Hello hello, MessageCodec codec, PeerTimings timings, PeerListener listener) {
    return new PeerNetwork(hello, codec, timings, listener);
  }

  /**
   * Starts to accept connections.
   *
   * @param address address to listen on; port 0 selects a free port
   * @return the bound address
   */
  public InetSocketAddress listen(InetSocketAddress address) {
    DisposableServer server =
        TcpServer.create()
            .bindAddress(() -> address)
            .doOnChannelInit((observer, channel, remote) -> configure(channel))
            .handle(this::handle)
            .bindNow();
    resources.add(server);
    return (InetSocketAddress) server.address();
  }

  /**
   * Maintains a connection to an address until the network is closed or the returned handle is
   * disposed of, which also closes the connection. Failed attempts to connect are repeated with
   * exponential backoff.
   */
  public Disposable dial(InetSocketAddress address) {
    Retry retry =
        Retry.backoff(Long.MAX_VALUE, timings.minRetryDelay())
            .maxBackoff(timings.maxRetryDelay())
            .transientErrors(true)
            .doBeforeRetry(s -> Logger.debug("event=dial_retry address={}", address));
    // A new connection takes the place of the former one, which has ended.
    Disposable.Swap connection = Disposables.swap();
    Disposable dialing =
        TcpClient.create()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timings.idleTimeout().toMillis())
            // Addresses are IP numbers; the default resolver would set up a DNS client.
            .resolver(DefaultAddressResolverGroup.INSTANCE)
            .remoteAddress(() -> address)
            .doOnChannelInit((observer, channel, remote) -> configure(channel))
            .handle(this::handle)
            .connect()
            .doOnNext(connection::update)
            .flatMap(c -> c.onDispose().thenReturn(c))
            .retryWhen(retry)
            .repeat()
            .subscribe();
    // Dialing ends first, so that the end of the connection is not followed by another one.
    Disposable handle =
        () -> {
          dialing.dispose();
          connection.dispose();
        };
    resources.add(handle);
    return () -> {
      resources.remove(handle);
      handle.dispose();
    };
  }

  /**
   * Sends a message over the newest connection to a process.
   *
   * @return false if the message is dropped, because there is no connection, its write buffer is
   *     full, or the message cannot be encoded
   */
  public boolean send(NodeId to, Message message) {
    PeerConnection newest = newestConnection(to);
    return newest != null && newest.send(message);
  }

  /** Returns the counters of frames and bytes sent and received so far. */
  public PeerTraffic traffic() {
    return traffic;
  }

  /** Closes all connections, stops listening and stops dialing. */
  @Override
  public void close() {
    resources.dispose();
    openConnections.forEach(PeerConnection::close);
  }

  MessageCodec codec() {
    return codec;
  }

  PeerTimings timings() {
    return timings;
  }

  PeerListener listener() {
    return listener;
  }

  Hello hello() {
    return hello;
  }

  /**
   * Adds a connection. The first connection to a later incarnation of a process ends those to the
   * earlier one, which may stay open for the idle timeout after the end of that incarnation.
   *
   * @return false if the connection is to an earlier incarnation than another one
   */
  boolean onOpened(Hello peer, PeerConnection connection) {
    NodeId node = peer.node();
    List<PeerConnection> superseded = new ArrayList<>();
    // The listener is called under the lock, so that it hears of changes in their order.
    synchronized (connections) {
      CopyOnWriteArrayList<PeerConnection> known =
          connections.computeIfAbsent(node, n -> new CopyOnWriteArrayList<>());
      for (PeerConnection c : known) {
        if (peer.incarnation().isBefore(c.peerIncarnation())) {
          return false;
        } else if (c.peerIncarnation().isBefore(peer.incarnation())) {
          superseded.add(c);
        }
      }
      if (!superseded.isEmpty()) {
        superseded.forEach(PeerConnection::stopReading);
        known.removeAll(superseded);
        Logger.info("event=peer_restarted peer={} incarnation={}", node, peer.incarnation());
        listener.onDisconnected(node);
      }
      known.add(connection);
      if (known.size() == 1) {
        Logger.info("event=peer_connected peer={}", node);
        listener.onConnected(node);
      }
    }
    superseded.forEach(PeerConnection::close);
    return true;
  }

  void onClosed(NodeId peer, PeerConnection connection) {
    openConnections.remove(connection);
    synchronized (connections) {
      CopyOnWriteArrayList<PeerConnection> known = connections.get(peer);
      if (known != null && known.remove(connection) && known.isEmpty()) {
        Logger.info("event=peer_disconnected peer={}", peer);
        listener.onDisconnected(peer);
      }
    }
  }

  private @Nullable PeerConnection newestConnection(NodeId peer) {
    CopyOnWriteArrayList<PeerConnection> peerConnections = connections.get(peer);
    if (peerConnections == null) {
      return null;
    }
    PeerConnection newest = null;
    for (PeerConnection c : peerConnections) {
      newest = c;
    }
    return newest;
  }

  private Publisher<Void> handle(NettyInbound in, NettyOutbound out) {
    PeerConnection connection = new PeerConnection(this, in);
    openConnections.add(connection);
    return Flux.from(connection.run()).doFinally(signal -> openConnections.remove(connection));
  }

  private static void configure(Channel channel) {
    WriteBufferWaterMark waterMarks =
        new WriteBufferWaterMark(MAX_BUFFERED_BYTES / 2, MAX_BUFFERED_BYTES);
    channel.config().setWriteBufferWaterMark(waterMarks);
    channel
        .pipeline()
        .addFirst(
            new FlushConsolidationHandler(FLUSH_AFTER_WRITES, true),
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
            new LengthFieldPrepender(LENGTH_BYTES));
  }
}
