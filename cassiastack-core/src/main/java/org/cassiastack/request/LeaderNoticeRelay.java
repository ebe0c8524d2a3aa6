package org.cassiastack.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;

/**
 * Passes on the notices of control members to every connected process, for a process that is listed
 * as a seed without being a control member. Processes that know no other seed find the leader
 * through it.
 *
 * @since 0.3
 */
public final class LeaderNoticeRelay implements Controller {
  /** How often the notice is sent again, for processes that missed the last change. */
  private static final Duration NOTICE_INTERVAL = Duration.ofMillis(500);

  private final LeaderTracker tracker = LeaderTracker.create();
  private final Set<NodeId> peers = new TreeSet<>(NodeId.BY_NAME);
  private Instant nextNoticeAt = Instant.MIN;

  private LeaderNoticeRelay() {}

  /** Creates a relay that has received no notice. */
  public static LeaderNoticeRelay create() {
    return new LeaderNoticeRelay();
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof PeerConnected p) {
      peers.add(p.peer());
      sendNotice(p.peer(), effects);
    } else if (event instanceof PeerDisconnected p) {
      peers.remove(p.peer());
      tracker.onDisconnect(p.peer());
    } else if (event instanceof Received r && r.message() instanceof LeaderNotice n) {
      if (tracker.onNotice(r.from(), n)) {
        broadcast(effects);
      }
    } else if (event instanceof Tick && !now.isBefore(nextNoticeAt)) {
      nextNoticeAt = now.plus(NOTICE_INTERVAL);
      broadcast(effects);
    }
    return effects;
  }

  @Override
  public Instant nextTickAt(Instant now) {
    return nextNoticeAt;
  }

  private void broadcast(List<Effect> effects) {
    peers.forEach(p -> sendNotice(p, effects));
  }

  private void sendNotice(NodeId to, List<Effect> effects) {
    if (!tracker.members().isEmpty()) {
      effects.add(
          new Send(to, new LeaderNotice(tracker.term(), tracker.leader(), tracker.members())));
    }
  }
}
