package org.cassiastack.consensus;

import java.time.Duration;
import java.util.List;
import org.cassiastack.model.NodeId;

/**
 * Settings of a member of the replicated log.
 *
 * @param nodes the listed nodes, whose members may always join; includes the node of this member
 *     unless unlisted nodes may join
 * @param heartbeat time between the heartbeats of a leader
 * @param electionTimeout minimum time without contact to a leader before an election starts
 * @param maxBatchEntries maximum number of entries in one message
 * @param maxInFlight maximum number of unanswered messages with entries to one follower
 * @param snapshotThreshold number of committed entries after which a snapshot is requested
 * @param snapshotThresholdBytes size in bytes of the committed commands after which a snapshot is
 *     requested, if the number of entries has not led to one before
 * @param joinPolicy rules for bootstrapping the log and for joining it
 * @since 0.1
 */
public record RaftSettings(
    List<NodeId> nodes,
    Duration heartbeat,
    Duration electionTimeout,
    int maxBatchEntries,
    int maxInFlight,
    long snapshotThreshold,
    long snapshotThresholdBytes,
    JoinPolicy joinPolicy) {
  /**
   * Default of {@link #snapshotThresholdBytes}: a twelfth of the heap of a control process, which
   * holds the commands since the last snapshot in memory.
   */
  public static final long DEFAULT_SNAPSHOT_THRESHOLD_BYTES = 8L << 20;

  private static final int LEASE_NUMERATOR = 3;
  private static final int LEASE_DENOMINATOR = 4;

  /** Creates settings; the list is copied and sorted. */
  public RaftSettings {
    nodes = nodes.stream().sorted(NodeId.BY_NAME).toList();
  }

  /** Creates settings under which the members are exactly the nodes of the list. */
  public RaftSettings(
      List<NodeId> nodes,
      Duration heartbeat,
      Duration electionTimeout,
      int maxBatchEntries,
      int maxInFlight,
      long snapshotThreshold) {
    this(
        nodes,
        heartbeat,
        electionTimeout,
        maxBatchEntries,
        maxInFlight,
        snapshotThreshold,
        DEFAULT_SNAPSHOT_THRESHOLD_BYTES,
        JoinPolicy.listedNodes());
  }

  /** Returns these settings with another join policy. */
  public RaftSettings withJoinPolicy(JoinPolicy policy) {
    return new RaftSettings(
        nodes,
        heartbeat,
        electionTimeout,
        maxBatchEntries,
        maxInFlight,
        snapshotThreshold,
        snapshotThresholdBytes,
        policy);
  }

  /** Returns these settings with another size of the log at which a snapshot is requested. */
  public RaftSettings withSnapshotThresholdBytes(long bytes) {
    return new RaftSettings(
        nodes,
        heartbeat,
        electionTimeout,
        maxBatchEntries,
        maxInFlight,
        snapshotThreshold,
        bytes,
        joinPolicy);
  }

  /** Returns default settings for members that are all in one region. */
  public static RaftSettings of(List<NodeId> nodes) {
    return new RaftSettings(nodes, Duration.ofMillis(100), Duration.ofMillis(1_000), 256, 8, 4_096);
  }

  /**
   * Returns the duration of a leader's lease: three quarters of the election timeout. The remaining
   * quarter allows for differences between the clock rates of the members.
   */
  public Duration leaseDuration() {
    return electionTimeout.multipliedBy(LEASE_NUMERATOR).dividedBy(LEASE_DENOMINATOR);
  }
}
