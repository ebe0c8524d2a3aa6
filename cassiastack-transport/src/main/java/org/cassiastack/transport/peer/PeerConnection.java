package org.cassiastack.transport.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Hello;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.Ping;
import org.cassiastack.transport.codec.MalformedMessageException;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.tinylog.Logger;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.NettyInbound;

/** One connection: reads frames, pings when idle, and closes on anything that is no message. */
final class PeerConnection {
  private final PeerNetwork network;
  private final Connection connection;
  private final NettyInbound in;
  private volatile @Nullable NodeId peer;
  private long pings;

  PeerConnection(PeerNetwork network, NettyInbound in) {
    this.network = network;
    this.in = in;
    AtomicReference<Connection> held = new AtomicReference<>();
    in.withConnection(held::set);
    this.connection = Objects.requireNonNull(held.get());
  }

  /** Greets the other end and reads until the connection ends. */
  Publisher<Void> run() {
    connection.onReadIdle(network.timings().idleTimeout().toMillis(), this::silent);
    connection.onWriteIdle(network.timings().pingInterval().toMillis(), this::ping);
    send(network.hello());
    return in.receive()
        .asByteArray()
        .doOnNext(this::read)
        .onErrorResume(this::failed)
        .doFinally(signal -> ended())
        .then();
  }

  /**
   * Writes a message.
   *
   * @return false when the connection is closed or its buffer is full
   */
  boolean send(Message message) {
    Channel c = connection.channel();
    if (!c.isActive() || !c.isWritable()) {
      return false;
    }
    try {
      byte[] frame = network.codec().encode(message);
      network.traffic().countFrame(PeerNetwork.LENGTH_BYTES + frame.length);
      c.writeAndFlush(Unpooled.wrappedBuffer(frame));
      return true;
    } catch (MalformedMessageException e) {
      Logger.error(e, "event=message_not_encoded type={}", message.getClass().getSimpleName());
      return false;
    }
  }

  void close() {
    connection.dispose();
  }

  private void read(byte[] frame) {
    network.traffic().countFrame(PeerNetwork.LENGTH_BYTES + frame.length);
    try {
      Message message = network.codec().decode(frame);
      NodeId known = peer;
      if (known == null) {
        greeted(message);
      } else if (!(message instanceof Ping)) {
        network.listener().onMessage(known, message);
      }
    } catch (MalformedMessageException e) {
      throw Exceptions.propagate(e);
    }
  }

  private void greeted(Message message) throws MalformedMessageException {
    if (!(message instanceof Hello h)) {
      throw new MalformedMessageException("first message is no hello");
    }
    if (h.protocolVersion() != Hello.PROTOCOL_VERSION) {
      throw new MalformedMessageException("protocol version " + h.protocolVersion());
    }
    peer = h.node();
    network.onOpened(h.node(), this);
  }

  private void silent() {
    Logger.warn("event=connection_silent peer={} remote={}", peer, remote());
    close();
  }

  private void ping() {
    pings++;
    send(new Ping(pings));
  }

  private Publisher<byte[]> failed(Throwable cause) {
    Throwable e = Exceptions.unwrap(cause);
    String reason = Objects.toString(e.getMessage(), e.getClass().getSimpleName());
    Logger.warn("event=connection_failed peer={} remote={} reason=\"{}\"", peer, remote(), reason);
    close();
    return Mono.empty();
  }

  private void ended() {
    NodeId known = peer;
    if (known != null) {
      network.onClosed(known, this);
    }
  }

  private Object remote() {
    return connection.channel().remoteAddress();
  }
}
