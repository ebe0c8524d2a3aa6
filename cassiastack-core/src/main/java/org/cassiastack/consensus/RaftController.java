package org.cassiastack.consensus;

import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cassiastack.consensus.internal.RaftMember;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;

/**
 * A member of the replicated log, which uses the Raft algorithm.
 *
 * <ol>
 *   <li>A {@link ProposeCommand} leads to {@link CommandCommitted} at every member, or to {@link
 *       ProposalRefused} at a member that is not the leader.
 *   <li>{@link LeaderChanged} reports the leader. A member reports itself as the leader only once
 *       its state machine has applied every command that earlier leaders committed.
 *   <li>A proposal that is neither committed nor refused when the leader changes may still be
 *       committed later. The proposer proposes it again under the same id and ignores a second
 *       commit.
 *   <li>{@link HandLeadershipOver} before a planned stop saves the other members an election
 *       timeout.
 *   <li>Disk writes are requested by the effect {@link Persist}, which is answered by {@link
 *       Persisted} or {@link StorageFailed}.
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
   * Creates a member.
   *
   * @param settings nodes, timings, limits and join policy of the log
   * @param recovered content of the member's data folder
   * @param random source of the random election timeouts
   */
  public static RaftController create(
      RaftSettings settings, RecoveredLog recovered, RandomGenerator random) {
    return new RaftController(RaftMember.create(settings, recovered, random));
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    return member.on(event, now);
  }

  @Override
  public Instant nextTickAt(Instant now) {
    return member.nextTickAt(now);
  }
}
