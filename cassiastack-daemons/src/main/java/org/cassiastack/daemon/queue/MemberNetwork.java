package org.cassiastack.daemon.queue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.cassiastack.controller.Event;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Hello;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.transport.codec.MessageCodec;
import org.cassiastack.transport.peer.PeerListener;
import org.cassiastack.transport.peer.PeerNetwork;
import org.cassiastack.transport.peer.PeerTimings;

/**
 * The connections of a process to the control members, and what comes over them as events. A
 * control member's node is named by its IP number; all listen at the same port.
 */
final class MemberNetwork implements AutoCloseable {
  /**
   * An idle connection is pinged four times before it counts as silent, and the silence is shorter
   * than a lease of an agent, so that a new connection can still renew it.
   */
  private static final PeerTimings TIMINGS =
      new PeerTimings(
          Duration.ofMillis(200),
          Duration.ofMillis(900),
          Duration.ofMillis(50),
          Duration.ofMillis(500));

  private final NodeId self;
  private final int port;
  private final PeerNetwork network;
  private final Set<NodeId> dialed = ConcurrentHashMap.newKeySet();

  private MemberNetwork(NodeId self, int port, PeerNetwork network) {
    this.self = self;
    this.port = port;
    this.network = network;
  }

  /**
   * Makes a network without connections.
   *
   * @param self this process
   * @param incarnation this life of it
   * @param port where control members listen
   * @param events takes what happens, on any thread
   */
  static MemberNetwork create(
      NodeId self, Incarnation incarnation, int port, Consumer<Event> events) {
    Hello hello = new Hello(Hello.PROTOCOL_VERSION, self, incarnation);
    PeerNetwork n = PeerNetwork.create(hello, MessageCodec.create(), TIMINGS, new Listener(events));
    return new MemberNetwork(self, port, n);
  }

  void listen(String address) {
    network.listen(new InetSocketAddress(address, port));
  }

  /** Keeps connections to members open; those that are known already are left as they are. */
  void dial(Collection<NodeId> members) {
    for (NodeId m : members) {
      if (!m.equals(self) && dialed.add(m)) {
        network.dial(new InetSocketAddress(m.name(), port));
      }
    }
  }

  void send(NodeId to, Message message) {
    network.send(to, message);
  }

  @Override
  public void close() {
    network.close();
  }

  private record Listener(Consumer<Event> events) implements PeerListener {
    @Override
    public void onConnected(NodeId peer) {
      events.accept(new PeerConnected(peer));
    }

    @Override
    public void onDisconnected(NodeId peer) {
      events.accept(new PeerDisconnected(peer));
    }

    @Override
    public void onMessage(NodeId peer, Message message) {
      events.accept(new Received(peer, message));
    }
  }
}
