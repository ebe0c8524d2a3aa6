package org.cassiastack.consensus;

import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cassiastack.consensus.internal.RaftMember;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;

/**
 * One member of the replicated log.
 *
 * <ol>
 *   <li>It takes {@link ProposeCommand} and answers with {@link CommandCommitted} at every member,
 *       or with {@link ProposalRefused} where it does not lead.
 *   <li>It tells of the leader by {@link LeaderChanged}: of itself only once its state machine has
 *       every command that was committed before.
 *   <li>A proposal of which nothing was heard when the leader changed may or may not be committed
 *       later; whoever made it proposes it again under the same identity and ignores the second.
 *   <li>{@link HandLeadershipOver} before a planned stop spares the others an election timeout.
 *   <li>Disk is the effect {@link Persist}, answered by {@link Persisted} or {@link StorageFailed}.
 * </ol>
 *
 * <pre>{@code
 * Controller raft = RaftController.create(RaftSettings.of(nodes), recovered, random);
 * }</pre>
 *
 * @since 0.1
 */
public final class RaftController implements Controller {
  private final RaftMember member;

  private RaftController(RaftMember member) {
    this.member = member;
  }

  /**
   * Makes a member.
   *
   * @param settings its settings
   * @param recovered what its data folder holds
   * @param random spreads election timeouts
   */
  public static RaftController create(
      RaftSettings settings, RecoveredLog recovered, RandomGenerator random) {
    return new RaftController(RaftMember.create(settings, recovered, random));
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    return member.on(event, now);
  }
}
