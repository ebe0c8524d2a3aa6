package org.cassiastack.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.cassiastack.controller.VirtualScheduler;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.jspecify.annotations.Nullable;

/**
 * Members connected by a fake network in virtual time. {@link Invariants} are checked on each
 * message and on each command that is applied.
 */
final class FakeCluster {
  static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

  /** Bounds the log in bytes; the commands of most tests are far smaller. */
  static final long MAX_LOG_BYTES = 2_000;

  private static final Duration TIME_STEP = Duration.ofMillis(10);

  private final Random random;
  private final RaftSettings settings;
  private final Invariants invariants = new Invariants();
  private final List<FakeMember> members = new ArrayList<>();
  private final VirtualScheduler scheduler = new VirtualScheduler(START);
  private final Set<String> cutLinks = new HashSet<>();
  private int dropPercent;
  private int duplicatePercent;
  private int jitterMillis = 1;

  private FakeCluster(long seed, List<Double> clockRates, JoinPolicy joinPolicy) {
    random = new Random(seed);
    List<NodeId> nodes = new ArrayList<>();
    for (int i = 0; i < clockRates.size(); i++) {
      nodes.add(new NodeId("c" + i));
    }
    settings =
        new RaftSettings(
            nodes,
            Duration.ofMillis(100),
            Duration.ofMillis(500),
            3,
            2,
            10,
            MAX_LOG_BYTES,
            joinPolicy);
    for (int i = 0; i < nodes.size(); i++) {
      Random memberRandom = new Random(random.nextLong());
      members.add(new FakeMember(this, nodes.get(i), memberRandom, clockRates.get(i)));
    }
    members.forEach(FakeMember::start);
  }

  static FakeCluster ofThree(long seed) {
    return withClockRates(seed, List.of(1.0, 1.0, 1.0));
  }

  /** Creates three members of a log that unlisted nodes may join. */
  static FakeCluster ofThreeWithUnlistedAllowed(long seed, Duration voterTimeout) {
    return new FakeCluster(
        seed, List.of(1.0, 1.0, 1.0), JoinPolicy.unlistedAllowed(true, 3, voterTimeout));
  }

  static FakeCluster withClockRates(long seed, List<Double> rates) {
    return new FakeCluster(seed, rates, JoinPolicy.listedNodes());
  }

  /** Starts a member with an empty disk on a node that the settings do not list. */
  FakeMember join(String node) {
    FakeMember member = new FakeMember(this, new NodeId(node), new Random(random.nextLong()), 1.0);
    members.add(member);
    member.start();
    return member;
  }

  /**
   * Makes the network drop and duplicate the given percentages of the messages, and delay each
   * message by 1 to {@code jitter} ms.
   */
  void setNetworkFaults(int drop, int duplicate, int jitter) {
    dropPercent = drop;
    duplicatePercent = duplicate;
    jitterMillis = Math.max(1, jitter);
  }

  void isolate(FakeMember member) {
    members.forEach(m -> cutLink(m, member));
    members.forEach(m -> cutLink(member, m));
  }

  void cutLink(FakeMember from, FakeMember to) {
    cutLinks.add(link(from.node(), to.node()));
  }

  void restoreNetwork() {
    cutLinks.clear();
    setNetworkFaults(0, 0, 1);
  }

  void send(FakeMember from, Send send) {
    if (send.message() instanceof RaftMessage m) {
      invariants.checkSent(m);
    }
    FakeMember to = member(send.to());
    int copies = random.nextInt(100) < duplicatePercent ? 2 : 1;
    int targetIncarnation = to.incarnation();
    for (int i = 0; i < copies; i++) {
      boolean lost =
          random.nextInt(100) < dropPercent || cutLinks.contains(link(from.node(), to.node()));
      Duration delay = Duration.ofMillis(1 + random.nextInt(jitterMillis));
      if (!lost) {
        after(delay, () -> deliver(from, to, targetIncarnation, send));
      }
    }
  }

  private void deliver(FakeMember from, FakeMember to, int targetIncarnation, Send send) {
    if (!cutLinks.contains(link(from.node(), to.node()))) {
      to.on(new Received(from.node(), send.message()), targetIncarnation);
    }
  }

  UUID propose(FakeMember at) {
    UUID proposal = new UUID(random.nextLong(), random.nextLong());
    at.on(new ProposeCommand(proposal, Payload.ofText(proposal.toString())));
    return proposal;
  }

  UUID propose(FakeMember at, Payload command) {
    UUID proposal = new UUID(random.nextLong(), random.nextLong());
    at.on(new ProposeCommand(proposal, command));
    return proposal;
  }

  void after(Duration delay, Runnable action) {
    scheduler.runAfter(delay, action);
  }

  void run(Duration time) {
    scheduler.runFor(time);
  }

  /** Runs until a condition holds or time is up; returns whether the condition holds. */
  boolean runUntil(BooleanSupplier condition, Duration timeout) {
    Duration end = elapsed().plus(timeout);
    while (!condition.getAsBoolean() && elapsed().compareTo(end) < 0) {
      run(TIME_STEP);
    }
    return condition.getAsBoolean();
  }

  /** Returns the leader with the highest term among the running members, or null. */
  @Nullable FakeMember leader() {
    return members.stream()
        .filter(m -> m.isUp() && m.leaderView().leading())
        .max(Comparator.comparingLong(m -> m.leaderView().term()))
        .orElse(null);
  }

  /** Runs until every running member knows the same leader. */
  FakeMember awaitLeader() {
    runUntil(this::isLeaderKnown, Duration.ofSeconds(30));
    FakeMember leader = leader();
    if (leader == null) {
      throw new AssertionError("no leader within 30 s");
    }
    return leader;
  }

  private boolean isLeaderKnown() {
    FakeMember leader = leader();
    return leader != null
        && members.stream()
            .filter(FakeMember::isUp)
            .allMatch(m -> leader.node().equals(m.leaderView().leader()));
  }

  /** Returns whether, in the data folders of all members, the voters are exactly all members. */
  boolean allMembersAreVoters() {
    MemberSet allVote = MemberSet.ofVoters(members.stream().map(m -> m.disk().self()).toList());
    return members.stream().allMatch(m -> m.disk().members().equals(allVote));
  }

  FakeMember anyExcept(FakeMember... exceptions) {
    List<FakeMember> excluded = List.of(exceptions);
    return members.stream().filter(m -> !excluded.contains(m)).findFirst().orElseThrow();
  }

  FakeMember member(NodeId node) {
    return members.stream().filter(m -> m.node().equals(node)).findFirst().orElseThrow();
  }

  List<FakeMember> members() {
    return members;
  }

  RaftSettings settings() {
    return settings;
  }

  Invariants invariants() {
    return invariants;
  }

  Duration elapsed() {
    return Duration.between(START, scheduler.now());
  }

  private static String link(NodeId from, NodeId to) {
    return from + ">" + to;
  }
}
