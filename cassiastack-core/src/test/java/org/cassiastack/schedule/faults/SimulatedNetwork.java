package org.cassiastack.schedule.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.runs.RunOrders;

/** The connections between simulated processes. A link can be cut or slow in one direction. */
final class SimulatedNetwork {
  private static final int CONNECT_MILLIS = 5;

  /** Maximum time after the repair of a link until the sender repeats what was not received. */
  private static final int MAX_RETRANSMISSION_MILLIS = 200;

  private final QueueSimulation simulation;
  private final Map<NodeId, SimulatedNode> nodes;
  private final Map<Link, Long> cutLinks = new HashMap<>();

  /**
   * Messages of connections that wait for the repair of their link, or for their retransmission.
   */
  private final Map<Link, List<Runnable>> heldMessages = new HashMap<>();

  private final Set<Link> connectedLinks = new HashSet<>();
  private final Set<Link> dialedLinks = new HashSet<>();
  private final Map<Link, Integer> linkDelays = new HashMap<>();
  private final Map<Link, Long> lastDelivery = new HashMap<>();
  private NetworkProfile profile = NetworkProfile.dropping();
  private long lastCut;

  SimulatedNetwork(QueueSimulation simulation, Map<NodeId, SimulatedNode> nodes) {
    this.simulation = simulation;
    this.nodes = nodes;
  }

  /** Sets what cuts do from now on. */
  void setProfile(NetworkProfile newProfile) {
    profile = newProfile;
  }

  /** Returns the time without data after which both ends count a connection as lost. */
  int disconnectMillis() {
    return profile.disconnectMillis();
  }

  /** Cuts one direction of a link; both ends detect the loss after a delay. */
  void cutLink(SimulatedNode from, SimulatedNode to) {
    Link link = new Link(from.node, to.node);
    lastCut++;
    long cut = cutLinks.computeIfAbsent(link, l -> lastCut);
    simulation.runAfter(
        disconnectMillis(),
        () -> {
          if (cutLinks.getOrDefault(link, 0L) == cut) {
            disconnect(from, to);
          }
        });
  }

  /** Cuts the links between two groups in both directions, and repairs them after some time. */
  void separate(List<SimulatedNode> some, List<SimulatedNode> others, long millis) {
    for (SimulatedNode a : some) {
      for (SimulatedNode b : others) {
        cutLink(a, b);
        cutLink(b, a);
        simulation.runAfter(Math.max(millis, profile.minCutMillis()), () -> repair(a, b));
      }
    }
  }

  private void repair(SimulatedNode a, SimulatedNode b) {
    repairDirection(new Link(a.node, b.node));
    repairDirection(new Link(b.node, a.node));
    connect(a, b);
  }

  private void repairDirection(Link link) {
    if (cutLinks.remove(link) != null && heldMessages.containsKey(link)) {
      simulation.runAfter(
          1L + simulation.random().nextInt(MAX_RETRANSMISSION_MILLIS), () -> retransmit(link));
    }
  }

  private void retransmit(Link link) {
    if (cutLinks.containsKey(link)) {
      return;
    }
    List<Runnable> messages = heldMessages.remove(link);
    if (messages != null) {
      messages.forEach(Runnable::run);
    }
  }

  /** Connects a process to fallback dispatchers until it hangs up. */
  void dial(SimulatedNode from, List<NodeId> targets) {
    for (NodeId to : targets) {
      if (!to.equals(from.node) && dialedLinks.add(new Link(from.node, to))) {
        simulation.runAfter(CONNECT_MILLIS, () -> connect(from, nodes.get(to)));
      }
    }
  }

  /** Closes the connections that only the process has dialed. */
  void hangUp(SimulatedNode from) {
    for (SimulatedNode to : nodes.values()) {
      boolean wasDialed = dialedLinks.remove(new Link(from.node, to.node));
      if (wasDialed && !dialedLinks.contains(new Link(to.node, from.node))) {
        disconnect(from, to);
      }
    }
  }

  /** Delays the messages of one direction of a link from now on; 0 removes the delay. */
  void slowLink(SimulatedNode from, SimulatedNode to, int millis) {
    linkDelays.put(new Link(from.node, to.node), millis);
  }

  void reconnectAll() {
    List.copyOf(cutLinks.keySet()).forEach(this::repairDirection);
    for (SimulatedNode a : nodes.values()) {
      for (SimulatedNode b : nodes.values()) {
        connect(a, b);
      }
    }
  }

  void connectToAll(SimulatedNode node) {
    nodes.values().forEach(other -> connect(node, other));
  }

  void disconnectFromAll(SimulatedNode node) {
    for (SimulatedNode other : nodes.values()) {
      disconnect(node, other);
    }
  }

  void deliver(SimulatedNode from, Send s) {
    SimulatedNode to = nodes.get(s.to());
    if (to == from) {
      simulation.runAfter(0, () -> to.on(new Received(from.node, s.message())));
      return;
    }
    Link link = new Link(from.node, s.to());
    if (to == null || !connectedLinks.contains(link)) {
      return;
    }
    int incarnation = to.incarnation();
    long transit = 1L + simulation.random().nextInt(3) + linkDelays.getOrDefault(link, 0);
    long at = Math.max(simulation.millis() + transit, lastDelivery.getOrDefault(link, 0L));
    lastDelivery.put(link, at);
    Runnable receive =
        () -> {
          if (s.message() instanceof RunOrders o) {
            simulation.callers().ordered(o);
          }
          to.on(new Received(from.node, s.message()), incarnation);
        };
    simulation.runAfter(at - simulation.millis(), () -> arrive(link, receive));
  }

  private void arrive(Link link, Runnable receive) {
    boolean mustWait = cutLinks.containsKey(link) || heldMessages.containsKey(link);
    if (!connectedLinks.contains(link) || (mustWait && !profile.holdsMessages())) {
      return;
    }
    if (mustWait) {
      heldMessages.computeIfAbsent(link, l -> new ArrayList<>()).add(receive);
    } else {
      receive.run();
    }
  }

  private void connect(SimulatedNode a, SimulatedNode b) {
    boolean disconnected = a == b || !a.isUp() || !b.isUp() || a.isPaused() || b.isPaused();
    Link forward = new Link(a.node, b.node);
    Link backward = new Link(b.node, a.node);
    boolean hasMember = a instanceof SimulatedMember || b instanceof SimulatedMember;
    boolean isDialed = dialedLinks.contains(forward) || dialedLinks.contains(backward);
    if (disconnected
        || !(hasMember || isDialed)
        || cutLinks.containsKey(forward)
        || cutLinks.containsKey(backward)
        || !connectedLinks.add(forward)) {
      return;
    }
    connectedLinks.add(backward);
    post(a, new PeerConnected(b.node));
    post(b, new PeerConnected(a.node));
  }

  private void disconnect(SimulatedNode a, SimulatedNode b) {
    if (connectedLinks.remove(new Link(a.node, b.node))) {
      connectedLinks.remove(new Link(b.node, a.node));
      heldMessages.remove(new Link(a.node, b.node));
      heldMessages.remove(new Link(b.node, a.node));
      post(a, new PeerDisconnected(b.node));
      post(b, new PeerDisconnected(a.node));
    }
  }

  private void post(SimulatedNode node, Event event) {
    int incarnation = node.incarnation();
    simulation.runAfter(0, () -> node.on(event, incarnation));
  }

  private record Link(NodeId from, NodeId to) {}
}
