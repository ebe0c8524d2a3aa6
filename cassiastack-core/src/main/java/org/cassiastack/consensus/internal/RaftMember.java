package org.cassiastack.consensus.internal;

import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cassiastack.consensus.AppendReply;
import org.cassiastack.consensus.AppendRequest;
import org.cassiastack.consensus.GreetingWithoutLog;
import org.cassiastack.consensus.HandLeadershipOver;
import org.cassiastack.consensus.InstallSnapshot;
import org.cassiastack.consensus.JoinRequest;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LeadershipReleased;
import org.cassiastack.consensus.MemberGreeting;
import org.cassiastack.consensus.Persisted;
import org.cassiastack.consensus.ProposalRefused;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.consensus.RaftMessage;
import org.cassiastack.consensus.RaftSettings;
import org.cassiastack.consensus.RecoveredLog;
import org.cassiastack.consensus.Snapshot;
import org.cassiastack.consensus.SnapshotRestored;
import org.cassiastack.consensus.SnapshotTaken;
import org.cassiastack.consensus.StorageFailed;
import org.cassiastack.consensus.VoteReply;
import org.cassiastack.consensus.VoteRequest;
import org.cassiastack.controller.ClockLeaped;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Received;

/** A member of the replicated log. Passes each event to the part of the member that handles it. */
public final class RaftMember {
  private final RaftState state;
  private final Election election;
  private final Follower follower;
  private final Leadership leadership;
  private final MemberChanges memberChanges;
  private boolean started;
  private boolean failed;

  private RaftMember(RaftState state) {
    this.state = state;
    this.election = new Election(state);
    this.follower = new Follower(state);
    this.leadership = new Leadership(state);
    this.memberChanges = new MemberChanges(state, leadership);
  }

  /**
   * Creates a member.
   *
   * @param settings nodes, timings, limits and join policy of the log
   * @param recovered content of the member's data folder
   * @param random source of the random election timeouts
   */
  public static RaftMember create(
      RaftSettings settings, RecoveredLog recovered, RandomGenerator random) {
    return new RaftMember(new RaftState(settings, recovered, random));
  }

  /** Handles an event and returns the resulting effects; none once the storage has failed. */
  public List<Effect> on(Event event, Instant now) {
    if (failed) {
      return List.of();
    }
    if (event instanceof StorageFailed) {
      failed = true;
      return List.of(new Raise(new LeaderChanged(state.term(), null, false)));
    }
    if (!started) {
      start(now);
    }
    handle(event, now);
    election.campaignIfPreVoteWon(now);
    if (election.isWon()) {
      leadership.begin(now);
    }
    return state.drainEffects();
  }

  /** Returns when the next heartbeat, election or greeting is due. */
  public Instant nextTickAt(Instant now) {
    if (failed) {
      return Instant.MAX;
    }
    if (!started) {
      return now;
    }
    if (state.isLeader()) {
      return leadership.nextHeartbeat();
    }
    Instant greeting = memberChanges.nextGreeting();
    return state.isVoter() && state.electionDeadline.isBefore(greeting)
        ? state.electionDeadline
        : greeting;
  }

  private void start(Instant now) {
    started = true;
    // Before its restart this member may have answered a leader whose lease has not expired yet. It
    // therefore grants no votes for an election timeout.
    state.lastLeaderContact = now;
    state.resetElectionDeadline(now);
    Snapshot s = state.log.snapshot();
    if (s != null) {
      state.raise(new SnapshotRestored(s.index(), s.state()));
    }
  }

  private void handle(Event event, Instant now) {
    if (event instanceof Tick) {
      tick(now);
    } else if (event instanceof Received r && r.message() instanceof RaftMessage m) {
      onMessage(m, now);
    } else if (event instanceof Received r && r.message() instanceof MemberGreeting g) {
      memberChanges.onGreeting(g, now);
    } else if (event instanceof Received r && r.message() instanceof GreetingWithoutLog g) {
      memberChanges.onGreetingWithoutLog(g, now);
    } else if (event instanceof Received r && r.message() instanceof JoinRequest j) {
      memberChanges.onJoinRequest(j);
    } else if (event instanceof Persisted p) {
      state.persistence.onPersisted(p.sequence()).forEach(state::emit);
      follower.sendPendingReply();
      leadership.advanceCommitIndex(now);
    } else if (event instanceof ProposeCommand p) {
      propose(p, now);
    } else if (event instanceof ClockLeaped c) {
      state.onClockLeaped(c.by());
    } else if (event instanceof HandLeadershipOver) {
      leadership.transferLeadership(now);
    } else if (event instanceof SnapshotTaken s) {
      compact(s);
    }
  }

  private void tick(Instant now) {
    leadership.tick(now);
    election.tick(now);
    memberChanges.tick(now);
  }

  private void onMessage(RaftMessage m, Instant now) {
    if (!m.to().equals(state.self) || memberChanges.isOutdated(m.from())) {
      return;
    }
    if (m instanceof AppendRequest r) {
      follower.onAppendRequest(r, now);
    } else if (m instanceof AppendReply r) {
      leadership.onAppendReply(r, now);
    } else if (m instanceof VoteRequest r) {
      election.onVoteRequest(r, now);
    } else if (m instanceof VoteReply r) {
      election.onVoteReply(r, now);
    } else if (m instanceof LeadershipReleased r) {
      election.onLeadershipReleased(r, now);
    } else if (m instanceof InstallSnapshot r) {
      follower.onInstallSnapshot(r, now);
    }
  }

  private void propose(ProposeCommand p, Instant now) {
    if (state.isLeader()) {
      leadership.propose(p, now);
    } else {
      NodeId leader = state.leader() == null ? null : state.leader().node();
      state.raise(new ProposalRefused(p.proposalId(), leader));
    }
  }

  private void compact(SnapshotTaken taken) {
    long index = taken.index();
    if (index <= state.log.baseIndex() || index > state.commitIndex) {
      return;
    }
    Snapshot s =
        new Snapshot(index, state.log.termAt(index), state.log.membersAt(index), taken.state());
    state.log.compact(s);
    state.emit(state.persistence.persistSnapshot(s, false));
  }
}
