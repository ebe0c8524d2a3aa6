package org.cassiastack.transport.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.cassiastack.model.Incarnation;
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

/**
 * A connection to a peer. It sends a ping when nothing was sent for the ping interval, and is
 * closed when nothing was received for the idle timeout or when a malformed frame was received.
 */
final class PeerConnection {
  private final PeerNetwork network;
  private final Connection connection;
  private final NettyInbound inbound;
  private volatile @Nullable Hello peer;

  /** Whether a later incarnation of the peer has connected. */
  private volatile boolean superseded;

  private long sentPings;

  PeerConnection(PeerNetwork network, NettyInbound inbound) {
    this.network = network;
    this.inbound = inbound;
    AtomicReference<Connection> reference = new AtomicReference<>();
    inbound.withConnection(reference::set);
    this.connection = Objects.requireNonNull(reference.get());
  }

  /** Sends the {@link Hello} message and reads frames until the connection ends. */
  Publisher<Void> run() {
    connection.onReadIdle(network.timings().idleTimeout().toMillis(), this::onReadIdle);
    connection.onWriteIdle(network.timings().pingInterval().toMillis(), this::sendPing);
    send(network.hello());
    return inbound
        .receive()
        .asByteArray()
        .doOnNext(this::readFrame)
        .onErrorResume(this::onError)
        .doFinally(signal -> onEnd())
        .then();
  }

  /**
   * Writes a message without waiting until it is sent.
   *
   * @return false if the connection is closed, its write buffer is full, or the message cannot be
   *     encoded; the message is then dropped
   */
  boolean send(Message message) {
    Channel channel = connection.channel();
    if (!channel.isActive() || !channel.isWritable()) {
      return false;
    }
    try {
      byte[] frame = network.codec().encode(message);
      network.traffic().countFrame(PeerNetwork.LENGTH_BYTES + frame.length);
      channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
      return true;
    } catch (MalformedMessageException e) {
      Logger.error(e, "event=message_not_encoded type={}", message.getClass().getSimpleName());
      return false;
    }
  }

  /** Returns the incarnation of the peer, whose {@link Hello} has been read. */
  Incarnation peerIncarnation() {
    return Objects.requireNonNull(peer).incarnation();
  }

  /** Drops the messages that are still to be read. */
  void stopReading() {
    superseded = true;
  }

  void close() {
    connection.dispose();
  }

  private void readFrame(byte[] frame) {
    network.traffic().countFrame(PeerNetwork.LENGTH_BYTES + frame.length);
    try {
      Message message = network.codec().decode(frame);
      Hello knownPeer = peer;
      if (knownPeer == null) {
        onHello(message);
      } else if (!(message instanceof Ping) && !superseded) {
        network.listener().onMessage(knownPeer.node(), message);
      }
    } catch (MalformedMessageException e) {
      throw Exceptions.propagate(e);
    }
  }

  private void onHello(Message message) throws MalformedMessageException {
    if (!(message instanceof Hello hello)) {
      throw new MalformedMessageException("first message is not a Hello message");
    }
    if (hello.protocolVersion() != Hello.PROTOCOL_VERSION) {
      throw new MalformedMessageException(
          "unsupported protocol version " + hello.protocolVersion());
    }
    peer = hello;
    if (!network.onOpened(hello, this)) {
      throw new MalformedMessageException(
          "a later incarnation is connected than " + hello.incarnation());
    }
  }

  private void onReadIdle() {
    Logger.warn("event=connection_silent peer={} remote={}", peerNode(), remoteAddress());
    close();
  }

  private void sendPing() {
    sentPings++;
    send(new Ping(sentPings));
  }

  private Publisher<byte[]> onError(Throwable cause) {
    Throwable e = Exceptions.unwrap(cause);
    String reason = Objects.toString(e.getMessage(), e.getClass().getSimpleName());
    Logger.warn(
        "event=connection_failed peer={} remote={} reason=\"{}\"",
        peerNode(),
        remoteAddress(),
        reason);
    close();
    return Mono.empty();
  }

  private void onEnd() {
    Hello knownPeer = peer;
    if (knownPeer != null) {
      network.onClosed(knownPeer.node(), this);
    }
  }

  private @Nullable NodeId peerNode() {
    Hello knownPeer = peer;
    return knownPeer == null ? null : knownPeer.node();
  }

  private Object remoteAddress() {
    return connection.channel().remoteAddress();
  }
}
