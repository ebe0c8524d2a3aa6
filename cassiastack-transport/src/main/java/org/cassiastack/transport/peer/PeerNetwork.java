package org.cassiastack.transport.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.net.InetSocketAddress;
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
 * The connections of one process to others.
 *
 * <ol>
 *   <li>{@link #listen} accepts connections, {@link #dial} keeps one to an address open.
 *   <li>Both ends ping when idle; a connection on which nothing came for a while is closed, and the
 *       end that dialed it opens a new one.
 *   <li>{@link #send} uses the newest connection to a process. Delivery is not assured.
 *   <li>Frames are bounded; whatever is no message closes its own connection and disturbs no other.
 * </ol>
 *
 * @since 0.1
 */
public final class PeerNetwork implements AutoCloseable {
  /** Largest frame in bytes. */
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
  private final Set<PeerConnection> open = ConcurrentHashMap.newKeySet();

  private PeerNetwork(Hello hello, MessageCodec codec, PeerTimings timings, PeerListener listener) {
    this.timings = timings;
    this.hello = hello;
    this.codec = codec;
    this.listener = listener;
  }

  /**
   * Makes a network without any connection.
   *
   * @param hello first message on each connection
   * @param codec encodes messages
   * @param timings how long connections may be idle
   * @param listener is told what happens
   */
  public static PeerNetwork create(
      Hello hello, MessageCodec codec, PeerTimings timings, PeerListener listener) {
    return new PeerNetwork(hello, codec, timings, listener);
  }

  /**
   * Accepts connections.
   *
   * @param address where to listen; port 0 takes any free one
   * @return the address that was bound
   */
  public InetSocketAddress listen(InetSocketAddress address) {
    DisposableServer server =
        TcpServer.create()
            .bindAddress(() -> address)
            .doOnChannelInit((observer, channel, remote) -> initialize(channel))
            .handle(this::run)
            .bindNow();
    resources.add(server);
    return (InetSocketAddress) server.address();
  }

  /** Keeps a connection to an address open until the network is closed. */
  public void dial(InetSocketAddress address) {
    Retry retry =
        Retry.backoff(Long.MAX_VALUE, timings.minRetryDelay())
            .maxBackoff(timings.maxRetryDelay())
            .transientErrors(true)
            .doBeforeRetry(s -> Logger.debug("event=dial_retry address={}", address));
    resources.add(
        TcpClient.create()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timings.idleTimeout().toMillis())
            .remoteAddress(() -> address)
            .doOnChannelInit((observer, channel, remote) -> initialize(channel))
            .handle(this::run)
            .connect()
            .flatMap(c -> c.onDispose().thenReturn(c))
            .retryWhen(retry)
            .repeat()
            .subscribe());
  }

  /**
   * Sends a message over the newest connection to a process.
   *
   * @return false when there is no connection or its buffer is full; the message is dropped
   */
  public boolean send(NodeId to, Message message) {
    PeerConnection newest = newest(to);
    return newest != null && newest.send(message);
  }

  /** Returns what was sent and received so far. */
  public PeerTraffic traffic() {
    return traffic;
  }

  /** Closes every connection and stops listening. */
  @Override
  public void close() {
    resources.dispose();
    open.forEach(PeerConnection::close);
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

  void onOpened(NodeId peer, PeerConnection connection) {
    CopyOnWriteArrayList<PeerConnection> all =
        connections.computeIfAbsent(peer, p -> new CopyOnWriteArrayList<>());
    boolean first = all.isEmpty();
    all.add(connection);
    if (first) {
      Logger.info("event=peer_connected peer={}", peer);
      listener.onConnected(peer);
    }
  }

  void onClosed(NodeId peer, PeerConnection connection) {
    open.remove(connection);
    CopyOnWriteArrayList<PeerConnection> all = connections.get(peer);
    if (all != null && all.remove(connection) && all.isEmpty()) {
      Logger.info("event=peer_disconnected peer={}", peer);
      listener.onDisconnected(peer);
    }
  }

  private @Nullable PeerConnection newest(NodeId peer) {
    CopyOnWriteArrayList<PeerConnection> all = connections.get(peer);
    if (all == null) {
      return null;
    }
    PeerConnection newest = null;
    for (PeerConnection c : all) {
      newest = c;
    }
    return newest;
  }

  private Publisher<Void> run(NettyInbound in, NettyOutbound out) {
    PeerConnection peer = new PeerConnection(this, in);
    open.add(peer);
    return Flux.from(peer.run()).doFinally(signal -> open.remove(peer));
  }

  private static void initialize(Channel channel) {
    WriteBufferWaterMark bounds =
        new WriteBufferWaterMark(MAX_BUFFERED_BYTES / 2, MAX_BUFFERED_BYTES);
    channel.config().setWriteBufferWaterMark(bounds);
    channel
        .pipeline()
        .addFirst(
            new FlushConsolidationHandler(FLUSH_AFTER_WRITES, true),
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
            new LengthFieldPrepender(LENGTH_BYTES));
  }
}
