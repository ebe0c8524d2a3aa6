package org.cassiastack.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Minion;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Announce;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.Welcome;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the live agents and the minions that they manage.
 *
 * <ol>
 *   <li>Each announcement renews the lease of its agent and is answered by a {@link Welcome}.
 *   <li>An agent whose lease has expired is removed together with its minions.
 *   <li>A later incarnation of an agent replaces an earlier one; announcements of an earlier
 *       incarnation are ignored.
 *   <li>Until one lease duration has passed since the first event of the controller, its view is
 *       not settled: it reports no missing agent as lost, because any agent may be about to
 *       announce itself.
 *   <li>Each change of the agents, of their minions or of the settled state is published as a new
 *       view, {@link MinionsChanged}.
 * </ol>
 *
 * @since 0.1
 */
public final class MembershipController implements Controller {
  private final NodeId self;
  private final Duration lease;
  private final Map<NodeId, Member> members = new TreeMap<>(NodeId.BY_NAME);

  private @Nullable Instant settlesAt;
  private boolean settled;

  private MembershipController(NodeId self, Duration lease) {
    this.self = self;
    this.lease = lease;
  }

  /**
   * Creates a controller.
   *
   * @param self the process in which the controller runs
   * @param lease time after its last announcement for which an agent counts as live
   */
  public static MembershipController create(NodeId self, Duration lease) {
    return new MembershipController(self, lease);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    if (settlesAt == null) {
      settlesAt = now.plus(lease);
    }
    if (event instanceof Received r && r.message() instanceof Announce a) {
      return onAnnounce(r.from(), a, now);
    }
    if (event instanceof Tick) {
      return expire(now, !now.isBefore(settlesAt));
    }
    return List.of();
  }

  private List<Effect> onAnnounce(NodeId from, Announce a, Instant now) {
    Member previous = members.get(a.agent());
    if (previous != null && a.incarnation().isBefore(previous.incarnation)) {
      return List.of();
    }
    List<Effect> effects = new ArrayList<>();
    effects.add(new Send(from, new Welcome(self, a.sequence())));
    Member member = new Member(a.incarnation(), a.leaving(), a.minions(), now.plus(lease));
    members.put(a.agent(), member);
    if (previous == null || !previous.viewEquals(member)) {
      effects.add(view());
    }
    return effects;
  }

  private List<Effect> expire(Instant now, boolean nowSettled) {
    boolean expired = members.values().removeIf(m -> !now.isBefore(m.leaseEnd));
    boolean changed = expired || settled != nowSettled;
    settled = nowSettled;
    return changed ? List.of(view()) : List.of();
  }

  private MinionsChanged view() {
    List<AvailableMinion> available = new ArrayList<>();
    Map<NodeId, Incarnation> agents = new HashMap<>();
    members.forEach(
        (agent, m) -> {
          agents.put(agent, m.incarnation);
          if (!m.leaving) {
            m.minions.forEach(x -> available.add(new AvailableMinion(agent, m.incarnation, x)));
          }
        });
    return new MinionsChanged(available, agents, settled);
  }

  private record Member(
      Incarnation incarnation, boolean leaving, List<Minion> minions, Instant leaseEnd) {
    boolean viewEquals(Member other) {
      return incarnation.equals(other.incarnation)
          && leaving == other.leaving
          && minions.equals(other.minions);
    }
  }
}
