package org.cassiastack.consensus.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cassiastack.consensus.CommandCommitted;
import org.cassiastack.consensus.HardState;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.consensus.MembersChanged;
import org.cassiastack.consensus.RaftMessage;
import org.cassiastack.consensus.RaftSettings;
import org.cassiastack.consensus.RecoveredLog;
import org.cassiastack.consensus.SnapshotWanted;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Send;
import org.jspecify.annotations.Nullable;

/** What the parts of a member share: term, role, log and the effects of the present event. */
final class RaftState {
  final RaftSettings settings;
  final MemberId self;
  final RaftLog log;
  final PersistenceTracker persistence;
  Role role = Role.FOLLOWER;
  long commitIndex;
  Instant lastLeaderContact = Instant.MIN;
  Instant electionDeadline = Instant.MAX;

  private final RandomGenerator random;
  private List<Effect> effects = new ArrayList<>();
  private long term;
  private @Nullable MemberId vote;
  private @Nullable MemberId leader;
  private long snapshotWantedAt;
  private List<NodeId> publishedMembers = List.of();
  private LeaderChanged published = new LeaderChanged(0, null, false);

  RaftState(RaftSettings settings, RecoveredLog recovered, RandomGenerator random) {
    this.settings = settings;
    this.self = recovered.self();
    this.log = RaftLog.of(recovered);
    this.persistence = new PersistenceTracker(log, recovered.hardState());
    this.random = random;
    this.term = recovered.hardState().term();
    this.vote = recovered.hardState().vote();
    this.commitIndex = log.baseIndex();
  }

  long term() {
    return term;
  }

  @Nullable MemberId vote() {
    return vote;
  }

  @Nullable MemberId leader() {
    return leader;
  }

  boolean isLeader() {
    return role == Role.LEADER;
  }

  /** Tells whether this member leads and its state machine holds all that was committed before. */
  boolean isReady() {
    return isLeader() && log.termAt(commitIndex) == term;
  }

  boolean isVoter() {
    return log.members().isVoter(self);
  }

  /** Tells whether a leader was heard of so lately that no other may be elected. */
  boolean hasRecentLeader(Instant now) {
    return isLeader() || now.isBefore(lastLeaderContact.plus(settings.electionTimeout()));
  }

  void emit(Effect effect) {
    effects.add(effect);
  }

  void raise(Event event) {
    effects.add(new Raise(event));
  }

  void send(RaftMessage message) {
    effects.add(new Send(message.to().node(), message));
  }

  List<Effect> drainEffects() {
    publish();
    List<Effect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }

  void resetElectionDeadline(Instant now) {
    long nanos = settings.electionTimeout().toNanos();
    electionDeadline = now.plus(Duration.ofNanos(nanos + random.nextLong(nanos)));
  }

  /** Follows a leader, or none, in a term that is not below the present one. */
  void becomeFollower(long newTerm, @Nullable MemberId newLeader, Instant now) {
    if (newTerm > term) {
      persistVote(newTerm, null, null);
    }
    if (isLeader()) {
      resetElectionDeadline(now);
    }
    role = Role.FOLLOWER;
    leader = newLeader;
  }

  void becomeLeader() {
    role = Role.LEADER;
    leader = self;
  }

  void clearLeader() {
    leader = null;
  }

  /**
   * Writes a term and the vote in it.
   *
   * @param after what may only happen once both are synced, or null
   */
  void persistVote(long newTerm, @Nullable MemberId newVote, @Nullable Effect after) {
    term = newTerm;
    vote = newVote;
    emit(persistence.persistHardState(new HardState(newTerm, newVote), after));
  }

  /** Hands entries up to an index to the state machine. */
  void commitTo(long index) {
    for (long i = commitIndex + 1; i <= index; i++) {
      LogEntry e = log.entry(i);
      if (e.kind() == LogEntry.Kind.COMMAND) {
        raise(new CommandCommitted(i, e.proposalId(), e.command()));
      }
    }
    commitIndex = Math.max(commitIndex, index);
    if (commitIndex - Math.max(log.baseIndex(), snapshotWantedAt) >= settings.snapshotThreshold()) {
      snapshotWantedAt = commitIndex;
      raise(new SnapshotWanted(commitIndex));
    }
  }

  private void publish() {
    MemberId known = isLeader() && !isReady() ? null : leader;
    LeaderChanged view =
        new LeaderChanged(term, known == null ? null : known.node(), self.equals(known));
    if (!view.equals(published)) {
      published = view;
      raise(view);
    }
    List<NodeId> nodes = log.members().all().stream().map(MemberId::node).distinct().toList();
    if (!nodes.equals(publishedMembers)) {
      publishedMembers = nodes;
      raise(new MembersChanged(nodes));
    }
  }
}
