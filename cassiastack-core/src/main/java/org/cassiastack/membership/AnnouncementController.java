package org.cassiastack.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Minion;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Announce;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Send;

/**
 * Announces an agent and its minions to every connected entry, when the entry connects and then at
 * each heartbeat. Announcements begin once the agent may start work, so that entries do not
 * dispatch work to the agent too early.
 *
 * @since 0.1
 */
public final class AnnouncementController implements Controller {
  private final NodeId self;
  private final Incarnation incarnation;
  private final List<Minion> minions;
  private final Duration heartbeatInterval;
  private final Set<NodeId> entries = new LinkedHashSet<>();
  private Instant nextHeartbeat = Instant.MIN;
  private long sequence;
  private boolean leaving;
  private boolean ready;

  private AnnouncementController(
      NodeId self, Incarnation incarnation, List<Minion> minions, Duration heartbeatInterval) {
    this.self = self;
    this.incarnation = incarnation;
    this.minions = List.copyOf(minions);
    this.heartbeatInterval = heartbeatInterval;
  }

  /**
   * Creates a controller.
   *
   * @param self the agent
   * @param incarnation incarnation of the agent's process
   * @param minions the minions that the agent manages
   * @param heartbeatInterval time between heartbeats
   */
  public static AnnouncementController create(
      NodeId self, Incarnation incarnation, List<Minion> minions, Duration heartbeatInterval) {
    return new AnnouncementController(self, incarnation, minions, heartbeatInterval);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    if (event instanceof PeerConnected c) {
      entries.add(c.peer());
      return ready ? List.of(new Send(c.peer(), announcement())) : List.of();
    }
    if (event instanceof PeerDisconnected d) {
      entries.remove(d.peer());
      return List.of();
    }
    if (event instanceof StartsAllowed a && !ready && !a.isStale(now)) {
      ready = true;
      return announceToAll(now);
    }
    if (event instanceof LeaveRequested) {
      leaving = true;
      return announceToAll(now);
    }
    if (event instanceof Tick && ready && !now.isBefore(nextHeartbeat)) {
      return announceToAll(now);
    }
    return List.of();
  }

  private List<Effect> announceToAll(Instant now) {
    nextHeartbeat = now.plus(heartbeatInterval);
    List<Effect> effects = new ArrayList<>();
    for (NodeId entry : entries) {
      effects.add(new Send(entry, announcement()));
    }
    return effects;
  }

  private Announce announcement() {
    sequence++;
    return new Announce(self, incarnation, sequence, leaving, minions);
  }
}
