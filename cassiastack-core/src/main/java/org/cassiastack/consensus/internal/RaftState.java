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
import org.cassiastack.consensus.SnapshotRequested;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Send;
import org.jspecify.annotations.Nullable;

/**
 * State shared by the parts of a member: term, role, log and the effects of the event being
 * handled.
 */
final class RaftState {
  /** Maximum number of times that the election timeout is doubled; see {@link #patience}. */
  private static final int MAX_TIMEOUT_DOUBLINGS = 2;

  /** Number of election timeouts after which a leader counts as stable. */
  private static final int STABLE_ELECTION_TIMEOUTS = 8;

  final RaftSettings settings;
  final MemberId self;
  final RaftLog log;
  final PersistenceTracker persistence;
  Role role = Role.FOLLOWER;
  long commitIndex;
  Instant lastLeaderContact = Instant.MIN;
  Instant electionDeadline = Instant.MAX;

  /** When the present leader was first heard of; {@link Instant#MIN} while there is none. */
  private Instant leaderSince = Instant.MIN;

  /** Number of leaders in a row that were lost soon after their elections. */
  private int shortLivedLeaders;

  private final RandomGenerator random;
  private List<Effect> effects = new ArrayList<>();
  private long term;
  private @Nullable MemberId vote;
  private @Nullable MemberId leader;
  private long snapshotRequestedIndex;

  /** Size of the commands committed since a snapshot was last requested or installed. */
  private long bytesSinceSnapshot;

  private List<NodeId> publishedMembers = List.of();
  private LeaderChanged publishedLeader = new LeaderChanged(0, null, false);

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

  /**
   * Returns whether this member is the leader and its state machine has received every command that
   * earlier leaders committed. This holds once an entry of the leader's own term is committed.
   */
  boolean isReady() {
    return isLeader() && log.termAt(commitIndex) == term;
  }

  boolean isVoter() {
    return log.members().isVoter(self);
  }

  /** Returns whether the last contact to a leader is so recent that no other may be elected. */
  boolean hasRecentLeader(Instant now) {
    return isLeader() || now.isBefore(leaderlessAt());
  }

  /** Returns when the last contact to a leader stops being recent. */
  Instant leaderlessAt() {
    return lastLeaderContact.plus(settings.electionTimeout());
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

  /**
   * Moves the deadlines up to which this member takes a leader for alive: a leap of its clock does
   * not prove that the lease of that leader has run out.
   */
  void onClockLeaped(Duration leap) {
    if (!lastLeaderContact.equals(Instant.MIN)) {
      lastLeaderContact = lastLeaderContact.plus(leap);
    }
    if (!electionDeadline.equals(Instant.MAX)) {
      electionDeadline = electionDeadline.plus(leap);
    }
  }

  /** Records that a leader has been heard of, or that this member has been elected. */
  void onLeaderHeard(boolean newLeader, Instant now) {
    leaderSince = newLeader || leaderSince.equals(Instant.MIN) ? now : leaderSince;
    if (!isShortLived(now)) {
      shortLivedLeaders = 0;
    }
  }

  /** Records that this member has given up the leader, if there was one. */
  void onLeaderLost(Instant now) {
    if (!leaderSince.equals(Instant.MIN)) {
      shortLivedLeaders = isShortLived(now) ? shortLivedLeaders + 1 : 0;
      leaderSince = Instant.MIN;
    }
  }

  private boolean isShortLived(Instant now) {
    Duration stable = settings.electionTimeout().multipliedBy(STABLE_ELECTION_TIMEOUTS);
    return now.isBefore(leaderSince.plus(stable));
  }

  /**
   * Returns the time without contact after which this member gives a leader up. From the second
   * leader in a row on that is lost soon after its election it doubles with each, up to a maximum:
   * members that are too busy to answer in time, as after a start of all processes, would otherwise
   * elect one leader after the other. The lease of a leader depends on the settings only.
   */
  Duration patience() {
    int doublings = Math.min(MAX_TIMEOUT_DOUBLINGS, Math.max(0, shortLivedLeaders - 1));
    return settings.electionTimeout().multipliedBy(1L << doublings);
  }

  void resetElectionDeadline(Instant now) {
    long nanos = patience().toNanos();
    electionDeadline = now.plus(Duration.ofNanos(nanos + random.nextLong(nanos)));
  }

  /**
   * Becomes a follower.
   *
   * @param newTerm the term, not lower than the current term
   * @param newLeader the leader of that term, or null if unknown
   */
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
   * Persists a term and the vote in that term.
   *
   * @param newVote the member voted for, or null
   * @param heldEffect effect that is emitted once both are durable, or null
   */
  void persistVote(long newTerm, @Nullable MemberId newVote, @Nullable Effect heldEffect) {
    term = newTerm;
    vote = newVote;
    emit(persistence.persistHardState(new HardState(newTerm, newVote), heldEffect));
  }

  /** Advances the commit index and passes the newly committed commands to the state machine. */
  void commitTo(long index) {
    for (long i = commitIndex + 1; i <= index; i++) {
      LogEntry e = log.entry(i);
      if (e.kind() == LogEntry.Kind.COMMAND) {
        raise(new CommandCommitted(i, e.proposalId(), e.command()));
        bytesSinceSnapshot += e.command().size();
      }
    }
    if (index > commitIndex) {
      commitIndex = index;
      emit(log.stats());
      requestSnapshotIfDue();
    }
  }

  /** Records that the log begins with a snapshot of another member. */
  void onSnapshotInstalled(long index) {
    commitIndex = index;
    bytesSinceSnapshot = 0;
  }

  /** Requests a snapshot if the log has grown enough, in entries or in bytes. */
  private void requestSnapshotIfDue() {
    long entries = commitIndex - Math.max(log.baseIndex(), snapshotRequestedIndex);
    if (entries >= settings.snapshotThreshold()
        || bytesSinceSnapshot >= settings.snapshotThresholdBytes()) {
      snapshotRequestedIndex = commitIndex;
      bytesSinceSnapshot = 0;
      raise(new SnapshotRequested(commitIndex));
    }
  }

  private void publish() {
    MemberId reportedLeader = isLeader() && !isReady() ? null : leader;
    LeaderChanged changed =
        new LeaderChanged(
            term,
            reportedLeader == null ? null : reportedLeader.node(),
            self.equals(reportedLeader));
    if (!changed.equals(publishedLeader)) {
      publishedLeader = changed;
      raise(changed);
    }
    List<NodeId> nodes = log.members().all().stream().map(MemberId::node).distinct().toList();
    if (!nodes.equals(publishedMembers)) {
      publishedMembers = nodes;
      raise(new MembersChanged(nodes));
    }
  }
}
