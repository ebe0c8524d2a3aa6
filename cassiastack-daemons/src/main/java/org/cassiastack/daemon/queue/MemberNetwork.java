package org.cassiastack.daemon.queue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
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
import reactor.core.Disposable;

/**
 * The connections of a process to the control members and, on demand, to fallback dispatchers.
 * Connection changes and received messages are reported as events. The node name of a control
 * member is its IP address, that of an entry begins with the IP address and a slash; all control
 * members listen on one port, and all entries on another one.
 */
final class MemberNetwork implements AutoCloseable {
  /**
   * Each end of an otherwise idle connection sends four pings within the idle timeout, so a
   * connection is closed as unresponsive only after four missing pings. The idle timeout is shorter
   * than the lease of an agent, so that the lease can still be renewed over a new connection.
   */
  private static final PeerTimings TIMINGS =
      new PeerTimings(
          Duration.ofMillis(200),
          Duration.ofMillis(900),
          Duration.ofMillis(50),
          Duration.ofMillis(500));

  private final NodeId self;
  private final MemberPorts ports;
  private final PeerNetwork network;
  private final Set<NodeId> dialedMembers = ConcurrentHashMap.newKeySet();

  /** Handles that end the dialing of fallback dispatchers; used by the thread of the loop only. */
  private final Map<NodeId, Disposable> dialedFallbacks = new HashMap<>();

  private MemberNetwork(NodeId self, MemberPorts ports, PeerNetwork network) {
    this.self = self;
    this.ports = ports;
    this.network = network;
  }

  /**
   * Creates a network without connections.
   *
   * @param self node of this process
   * @param incarnation incarnation of this process
   * @param ports ports on which control members and entries listen
   * @param events called with each event, on the I/O threads of the connections
   */
  static MemberNetwork create(
      NodeId self, Incarnation incarnation, MemberPorts ports, Consumer<Event> events) {
    Hello hello = new Hello(Hello.PROTOCOL_VERSION, self, incarnation);
    PeerNetwork network =
        PeerNetwork.create(hello, MessageCodec.create(), TIMINGS, new EventPoster(events));
    return new MemberNetwork(self, ports, network);
  }

  /** Accepts connections as a control member. */
  void listen() {
    network.listen(new InetSocketAddress(host(self), ports.members()));
  }

  /** Accepts connections as an entry that may be a fallback dispatcher. */
  void listenAsFallback() {
    network.listen(new InetSocketAddress(host(self), ports.fallback()));
  }

  /** Returns the IP address of the machine of a node. */
  private static String host(NodeId node) {
    int slash = node.name().indexOf('/');
    return slash < 0 ? node.name() : node.name().substring(0, slash);
  }

  /**
   * Connects to the members that were not dialed before, except to this process, and reconnects
   * whenever a connection is lost.
   */
  void dial(Collection<NodeId> members) {
    for (NodeId member : members) {
      if (!member.equals(self) && dialedMembers.add(member)) {
        network.dial(new InetSocketAddress(member.name(), ports.members()));
      }
    }
  }

  /**
   * Connects to the fallback dispatchers that are not dialed yet, except to this process, and
   * reconnects whenever a connection is lost, until {@link #hangUpFallbacks}.
   */
  void dialFallbacks(Collection<NodeId> nodes) {
    for (NodeId node : nodes) {
      if (ports.usesFallback() && !node.equals(self)) {
        InetSocketAddress address = new InetSocketAddress(host(node), ports.fallback());
        dialedFallbacks.computeIfAbsent(node, n -> network.dial(address));
      }
    }
  }

  /** Closes the connections that {@link #dialFallbacks} maintains. */
  void hangUpFallbacks() {
    dialedFallbacks.values().forEach(Disposable::dispose);
    dialedFallbacks.clear();
  }

  void send(NodeId to, Message message) {
    network.send(to, message);
  }

  @Override
  public void close() {
    network.close();
  }

  private record EventPoster(Consumer<Event> events) implements PeerListener {
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
