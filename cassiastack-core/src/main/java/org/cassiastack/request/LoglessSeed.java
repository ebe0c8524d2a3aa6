package org.cassiastack.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.consensus.GreetingWithoutLog;
import org.cassiastack.consensus.JoinPolicy;
import org.cassiastack.consensus.JoinRequest;
import org.cassiastack.consensus.MemberGreeting;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.jspecify.annotations.Nullable;

/**
 * A listed node without storage. It lets members find each other without being a member.
 *
 * <ol>
 *   <li>It answers each greeting of a member with {@link GreetingWithoutLog}, so that the members
 *       do not wait for it when they bootstrap the log.
 *   <li>It passes the greeting on to the leader as a {@link JoinRequest}.
 *   <li>If no listed node has storage, the listed node with the lowest name designates one of the
 *       members that have greeted it as the founder of the log. It designates one member at most,
 *       and none once it has heard of a leader or of a log that is not empty.
 * </ol>
 *
 * @since 0.3
 */
public final class LoglessSeed implements Controller {
  /**
   * Time from the first greeting until a founder is designated. All processes start within a third
   * of it, and a leader that exists is heard of within half of it.
   */
  private static final Duration DESIGNATION_DELAY = Duration.ofSeconds(1);

  private final NodeId self;
  private final boolean mayDesignate;
  private final LeaderTracker tracker = LeaderTracker.create();
  private final Map<NodeId, MemberId> greeted = new HashMap<>();
  private Instant firstGreetingAt = Instant.MAX;
  private boolean logExists;
  private @Nullable MemberId founder;

  private LoglessSeed(NodeId self, boolean mayDesignate) {
    this.self = self;
    this.mayDesignate = mayDesignate;
  }

  /**
   * Creates the controller of a listed node without storage.
   *
   * @param self the node
   * @param listed the listed nodes
   * @param bootstrapAllowed whether a new log may be bootstrapped; see {@link JoinPolicy}
   */
  public static LoglessSeed create(NodeId self, List<NodeId> listed, boolean bootstrapAllowed) {
    NodeId lowest = listed.stream().min(NodeId.BY_NAME).orElse(self);
    return new LoglessSeed(self, bootstrapAllowed && lowest.equals(self));
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof Received r && r.message() instanceof LeaderNotice n) {
      tracker.onNotice(r.from(), n);
      logExists |= n.leader() != null;
    } else if (event instanceof Received r
        && r.message() instanceof MemberGreeting g
        && g.inReplyTo() == null) {
      onGreeting(g, now, effects);
    }
    return effects;
  }

  @Override
  public Instant nextTickAt(Instant now) {
    return Instant.MAX;
  }

  private void onGreeting(MemberGreeting g, Instant now, List<Effect> effects) {
    MemberId from = g.from();
    greeted.put(from.node(), from);
    logExists |= !g.logEmpty();
    firstGreetingAt = now.isBefore(firstGreetingAt) ? now : firstGreetingAt;
    designateFounder(now);
    effects.add(new Send(from.node(), new GreetingWithoutLog(self, from, founder)));
    NodeId leader = tracker.leader();
    if (leader != null) {
      effects.add(new Send(leader, new JoinRequest(from)));
    }
  }

  private void designateFounder(Instant now) {
    boolean due =
        !firstGreetingAt.equals(Instant.MAX)
            && !now.isBefore(firstGreetingAt.plus(DESIGNATION_DELAY));
    if (mayDesignate && !logExists && founder == null && due) {
      founder = greeted.values().stream().min(MemberId.ORDER).orElse(null);
    }
  }
}
