package org.cassiastack.consensus;

import java.time.Duration;
import java.util.List;
import org.cassiastack.model.NodeId;

/**
 * Settings of a member.
 *
 * @param nodes the nodes whose members are admitted, this one included
 * @param heartbeat time between the heartbeats of a leader
 * @param electionTimeout shortest silence of a leader before another is elected
 * @param maxBatchEntries most entries in one message
 * @param maxInFlight most unanswered messages with entries to one follower
 * @param snapshotThreshold number of applied entries after which a snapshot is wanted
 * @param joinPolicy who may join the log
 * @since 0.1
 */
public record RaftSettings(
    List<NodeId> nodes,
    Duration heartbeat,
    Duration electionTimeout,
    int maxBatchEntries,
    int maxInFlight,
    long snapshotThreshold,
    JoinPolicy joinPolicy) {
  private static final int LEASE_NUMERATOR = 3;
  private static final int LEASE_DENOMINATOR = 4;

  /** Makes settings; the list is copied and sorted. */
  public RaftSettings {
    nodes = nodes.stream().sorted(NodeId.BY_NAME).toList();
  }

  /** Settings of members that are exactly the nodes of a list. */
  public RaftSettings(
      List<NodeId> nodes,
      Duration heartbeat,
      Duration electionTimeout,
      int batch,
      int window,
      long snapshotEntries) {
    this(
        nodes,
        heartbeat,
        electionTimeout,
        batch,
        window,
        snapshotEntries,
        JoinPolicy.listedNodes());
  }

  /** Returns these settings with another rule on who may join. */
  public RaftSettings withJoinPolicy(JoinPolicy policy) {
    return new RaftSettings(
        nodes, heartbeat, electionTimeout, maxBatchEntries, maxInFlight, snapshotThreshold, policy);
  }

  /** Settings for members of one region. */
  public static RaftSettings of(List<NodeId> nodes) {
    return new RaftSettings(nodes, Duration.ofMillis(100), Duration.ofMillis(1_000), 256, 8, 4_096);
  }

  /** Returns how long a lease lasts; the rest of the election timeout covers clock rates. */
  public Duration leaseDuration() {
    return electionTimeout.multipliedBy(LEASE_NUMERATOR).dividedBy(LEASE_DENOMINATOR);
  }
}
