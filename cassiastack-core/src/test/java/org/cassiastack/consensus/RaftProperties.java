package org.cassiastack.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.UUID;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class RaftProperties {
  private static final int MEMBERS = 3;
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(30);

  enum Kind {
    PROPOSE,
    RUN,
    CRASH,
    START,
    PAUSE,
    RESUME,
    ISOLATE,
    CUT_LINK,
    SET_NETWORK_FAULTS,
    RESTORE_NETWORK,
    TRANSFER_LEADERSHIP,
    LOSE_DISK
  }

  record Action(Kind kind, int member, int amount) {}

  @Provide
  Arbitrary<List<Action>> actions() {
    Arbitrary<Kind> kinds = Arbitraries.of(Kind.class);
    Arbitrary<Integer> members = Arbitraries.integers().between(0, MEMBERS - 1);
    Arbitrary<Integer> amounts = Arbitraries.integers().between(0, 100);
    return Combinators.combine(kinds, members, amounts)
        .as(Action::new)
        .list()
        .ofMinSize(5)
        .ofMaxSize(60);
  }

  @Provide
  Arbitrary<List<Double>> clockRates() {
    return Arbitraries.doubles().between(0.9, 1.1).list().ofSize(MEMBERS);
  }

  @Property(tries = 1_500, seed = "4711")
  void committed_commands_survive_faults_and_commits_resume_once_the_faults_end(
      @ForAll long seed,
      @ForAll("clockRates") List<Double> clockRates,
      @ForAll("actions") List<Action> actions) {
    FakeCluster cluster = FakeCluster.withClockRates(seed, clockRates);
    cluster.runUntil(() -> cluster.leader() != null, Duration.ofSeconds(seed % 5 + 5));

    actions.forEach(a -> perform(cluster, a));

    endFaults(cluster);
    assertThat(cluster.runUntil(() -> allMembersApply(cluster), RECOVERY_TIMEOUT)).isTrue();
  }

  private static void perform(FakeCluster cluster, Action a) {
    FakeMember member = cluster.members().get(a.member());
    switch (a.kind()) {
      case PROPOSE -> propose(cluster, a.amount() % 30);
      case RUN -> cluster.run(Duration.ofMillis(a.amount() * 20L));
      case CRASH -> member.crash();
      case START -> member.start();
      case PAUSE -> member.pause();
      case RESUME -> member.resume();
      case ISOLATE -> cluster.isolate(member);
      case CUT_LINK -> cluster.cutLink(member, cluster.members().get(a.amount() % MEMBERS));
      case SET_NETWORK_FAULTS ->
          cluster.setNetworkFaults(a.amount() / 3, a.amount() / 3, a.amount());
      case RESTORE_NETWORK -> cluster.restoreNetwork();
      case TRANSFER_LEADERSHIP -> member.on(new HandLeadershipOver());
      case LOSE_DISK -> loseDisk(cluster, member);
      default -> throw new IllegalArgumentException("unknown kind of action: " + a.kind());
    }
    cluster.run(Duration.ofMillis(a.amount() * 4L));
  }

  private static void propose(FakeCluster cluster, int count) {
    for (int i = 0; i < count; i++) {
      cluster.propose(cluster.members().get(i % MEMBERS));
    }
  }

  /**
   * Loses a disk only if no earlier loss is still being repaired: the log guarantees to survive the
   * loss of a second disk only after the first member has been replaced.
   */
  private static void loseDisk(FakeCluster cluster, FakeMember member) {
    if (cluster.allMembersAreVoters()) {
      member.loseDisk();
    }
  }

  private static void endFaults(FakeCluster cluster) {
    cluster.restoreNetwork();
    cluster.members().forEach(FakeMember::resume);
    cluster.members().forEach(FakeMember::start);
  }

  private static boolean allMembersApply(FakeCluster cluster) {
    FakeMember leader = cluster.leader();
    if (leader == null || !cluster.allMembersAreVoters()) {
      return false;
    }
    UUID proposal = cluster.propose(leader);
    cluster.run(Duration.ofMillis(300));
    return cluster.invariants().isCommitted(proposal)
        && cluster.members().stream().allMatch(m -> m.state().equals(leader.state()));
  }
}
