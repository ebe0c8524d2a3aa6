package org.cassiastack.propagation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.Predicate;
import org.cassiastack.configuration.ApplyAnswered;
import org.cassiastack.configuration.ApplyRequested;
import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.configuration.ConfigurationController;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.jspecify.annotations.Nullable;

/**
 * Brings operators' changes to a control member and the answers back.
 *
 * <ol>
 *   <li>A control member takes a change itself unless it knows that another one leads.
 *   <li>An entry without the control role hands it to the leader, or to any member that it reaches.
 *   <li>A change that was handed over and not answered in time is unresolved.
 * </ol>
 *
 * @since 0.1
 */
public final class ApplyRouter implements Controller {
  /** Longest wait for a member's answer; longer than the member itself waits for its log. */
  public static final Duration FORWARD_TIMEOUT =
      ConfigurationController.COMMIT_TIMEOUT.plusSeconds(1);

  private final NodeId self;
  private final Predicate<NodeId> isMember;
  private final Set<NodeId> members = new LinkedHashSet<>();
  private final Map<UUID, NodeId> origins = new HashMap<>();
  private final Map<UUID, Instant> handedOver = new LinkedHashMap<>();
  private @Nullable NodeId leader;
  private Revision inForce = Revision.NONE;

  private ApplyRouter(NodeId self, Predicate<NodeId> isMember) {
    this.self = self;
    this.isMember = isMember;
  }

  /**
   * Makes a router.
   *
   * @param self the process that it runs in
   * @param isMember tells which processes hold the control role, this one included
   */
  public static ApplyRouter create(NodeId self, Predicate<NodeId> isMember) {
    return new ApplyRouter(self, isMember);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    if (event instanceof ApplySubmitted s) {
      return route(s.request(), now);
    }
    if (event instanceof Received r && r.message() instanceof ForwardApply f) {
      return forwarded(r.from(), f, now);
    }
    if (event instanceof Received r && r.message() instanceof ForwardedApply f) {
      return resolve(f.requestId(), f.result());
    }
    if (event instanceof ApplyAnswered a) {
      return answered(a);
    }
    if (event instanceof ConfigurationChanged c) {
      inForce = c.configuration().revision();
    } else if (event instanceof LeaderChanged l) {
      leader = l.leader();
    } else if (event instanceof PeerConnected c && isMember.test(c.peer())) {
      members.add(c.peer());
    } else if (event instanceof PeerDisconnected d) {
      members.remove(d.peer());
    }
    return event instanceof Tick ? expire(now) : List.of();
  }

  private List<Effect> route(ApplyRequested r, Instant now) {
    NodeId to = target();
    if (to == null) {
      ApplyResult result = new ApplyResult(ResultCode.NO_LEADER, inForce);
      return answered(new ApplyAnswered(r.requestId(), result));
    }
    if (to.equals(self)) {
      return List.of(new Raise(r));
    }
    handedOver.put(r.requestId(), now.plus(FORWARD_TIMEOUT));
    ConfigurationDelta content = ConfigurationDelta.snapshot(r.content());
    return List.of(new Send(to, new ForwardApply(r.requestId(), r.changeId(), r.base(), content)));
  }

  private List<Effect> forwarded(NodeId from, ForwardApply f, Instant now) {
    origins.put(f.requestId(), from);
    Configuration content = f.content().applyTo(Configuration.EMPTY);
    ApplyRequested r = new ApplyRequested(f.requestId(), f.changeId(), f.base(), content);
    // A member's request goes no further, or two with old news of the leader would pass it around.
    return isMember.test(from) ? List.of(new Raise(r)) : route(r, now);
  }

  private @Nullable NodeId target() {
    if (leader != null && (leader.equals(self) || members.contains(leader))) {
      return leader;
    }
    return isMember.test(self) ? self : members.stream().findFirst().orElse(null);
  }

  private List<Effect> answered(ApplyAnswered a) {
    NodeId origin = origins.remove(a.requestId());
    return origin == null
        ? List.of(a)
        : List.of(new Send(origin, new ForwardedApply(a.requestId(), a.result())));
  }

  private List<Effect> resolve(UUID request, ApplyResult result) {
    return handedOver.remove(request) == null
        ? List.of()
        : answered(new ApplyAnswered(request, result));
  }

  private List<Effect> expire(Instant now) {
    List<Effect> effects = new ArrayList<>();
    for (Map.Entry<UUID, Instant> e : List.copyOf(handedOver.entrySet())) {
      if (!now.isBefore(e.getValue())) {
        ApplyResult result = new ApplyResult(ResultCode.CHANGE_UNRESOLVED, inForce);
        effects.addAll(resolve(e.getKey(), result));
      }
    }
    return effects;
  }
}
