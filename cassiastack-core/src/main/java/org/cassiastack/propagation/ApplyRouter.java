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
 * Routes operators' changes to a control member and returns the answers.
 *
 * <ol>
 *   <li>A control member handles a change itself unless it knows of another leader and is connected
 *       to that leader. In that case it forwards the change to the leader.
 *   <li>A process without the control role forwards a change to the leader, or to any connected
 *       member if it is not connected to the leader.
 *   <li>A forwarded change that is not answered within {@link #FORWARD_TIMEOUT} is answered with
 *       {@link ResultCode#CHANGE_UNRESOLVED}.
 * </ol>
 *
 * @since 0.1
 */
public final class ApplyRouter implements Controller {
  /**
   * Maximum time to wait for a member's answer. It is longer than {@link
   * ConfigurationController#COMMIT_TIMEOUT}, the time for which the member itself waits for the
   * commit.
   */
  public static final Duration FORWARD_TIMEOUT =
      ConfigurationController.COMMIT_TIMEOUT.plusSeconds(1);

  private final NodeId self;
  private final Predicate<NodeId> isMember;
  private final Set<NodeId> connectedMembers = new LinkedHashSet<>();
  private final Map<UUID, NodeId> requesters = new HashMap<>();
  private final Map<UUID, Instant> forwardDeadlines = new LinkedHashMap<>();
  private @Nullable NodeId leader;
  private Revision revisionInForce = Revision.NONE;

  private ApplyRouter(NodeId self, Predicate<NodeId> isMember) {
    this.self = self;
    this.isMember = isMember;
  }

  /**
   * Creates a router.
   *
   * @param self the process in which the router runs
   * @param isMember returns whether a process has the control role; also called for this process
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
      return onForwardApply(r.from(), f, now);
    }
    if (event instanceof Received r && r.message() instanceof ForwardedApply f) {
      return resolve(f.requestId(), f.result());
    }
    if (event instanceof ApplyAnswered a) {
      return sendAnswer(a);
    }
    if (event instanceof ConfigurationChanged c) {
      revisionInForce = c.configuration().revision();
    } else if (event instanceof LeaderChanged l) {
      leader = l.leader();
    } else if (event instanceof PeerConnected c && isMember.test(c.peer())) {
      connectedMembers.add(c.peer());
    } else if (event instanceof PeerDisconnected d) {
      connectedMembers.remove(d.peer());
    }
    return event instanceof Tick ? expire(now) : List.of();
  }

  private List<Effect> route(ApplyRequested r, Instant now) {
    NodeId to = selectMember();
    if (to == null) {
      ApplyResult result = new ApplyResult(ResultCode.NO_LEADER, revisionInForce);
      return sendAnswer(new ApplyAnswered(r.requestId(), result));
    }
    if (to.equals(self)) {
      return List.of(new Raise(r));
    }
    forwardDeadlines.put(r.requestId(), now.plus(FORWARD_TIMEOUT));
    ConfigurationDelta content = ConfigurationDelta.snapshot(r.content());
    return List.of(new Send(to, new ForwardApply(r.requestId(), r.changeId(), r.base(), content)));
  }

  private List<Effect> onForwardApply(NodeId from, ForwardApply f, Instant now) {
    requesters.put(f.requestId(), from);
    Configuration content = f.content().applyTo(Configuration.EMPTY);
    ApplyRequested r = new ApplyRequested(f.requestId(), f.changeId(), f.base(), content);
    // A request from a member is not forwarded again. Two members with outdated information on the
    // leader could otherwise forward the request to each other repeatedly.
    return isMember.test(from) ? List.of(new Raise(r)) : route(r, now);
  }

  private @Nullable NodeId selectMember() {
    if (leader != null && (leader.equals(self) || connectedMembers.contains(leader))) {
      return leader;
    }
    return isMember.test(self) ? self : connectedMembers.stream().findFirst().orElse(null);
  }

  private List<Effect> sendAnswer(ApplyAnswered a) {
    NodeId requester = requesters.remove(a.requestId());
    return requester == null
        ? List.of(a)
        : List.of(new Send(requester, new ForwardedApply(a.requestId(), a.result())));
  }

  private List<Effect> resolve(UUID requestId, ApplyResult result) {
    return forwardDeadlines.remove(requestId) == null
        ? List.of()
        : sendAnswer(new ApplyAnswered(requestId, result));
  }

  private List<Effect> expire(Instant now) {
    List<Effect> effects = new ArrayList<>();
    for (Map.Entry<UUID, Instant> e : List.copyOf(forwardDeadlines.entrySet())) {
      if (!now.isBefore(e.getValue())) {
        ApplyResult result = new ApplyResult(ResultCode.CHANGE_UNRESOLVED, revisionInForce);
        effects.addAll(resolve(e.getKey(), result));
      }
    }
    return effects;
  }
}
