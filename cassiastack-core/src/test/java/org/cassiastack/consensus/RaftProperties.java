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
  private static final Duration HEALING = Duration.ofSeconds(30);

  enum Kind {
    PROPOSE,
    RUN,
    CRASH,
    START,
    FREEZE,
    THAW,
    CUT_OFF,
    CUT_ONE_WAY,
    DISTURB,
    HEAL,
    HAND_OVER,
    LOSE_DISK
  }

  record Step(Kind kind, int member, int amount) {}

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Kind> kinds = Arbitraries.of(Kind.class);
    Arbitrary<Integer> members = Arbitraries.integers().between(0, MEMBERS - 1);
    Arbitrary<Integer> amounts = Arbitraries.integers().between(0, 100);
    return Combinators.combine(kinds, members, amounts)
        .as(Step::new)
        .list()
        .ofMinSize(5)
        .ofMaxSize(60);
  }

  @Provide
  Arbitrary<List<Double>> clockRates() {
    return Arbitraries.doubles().between(0.9, 1.1).list().ofSize(MEMBERS);
  }

  @Property(tries = 1_500, seed = "4711")
  void keeps_what_was_committed_and_works_again_once_all_is_healed(
      @ForAll long seed,
      @ForAll("clockRates") List<Double> clockRates,
      @ForAll("steps") List<Step> steps) {
    FakeCluster cluster = FakeCluster.withClockRates(seed, clockRates);
    cluster.runUntil(() -> cluster.leader() != null, Duration.ofSeconds(seed % 5 + 5));

    steps.forEach(s -> take(cluster, s));

    heal(cluster);
    assertThat(cluster.runUntil(() -> everyoneApplies(cluster), HEALING)).isTrue();
  }

  private static void take(FakeCluster cluster, Step s) {
    FakeMember member = cluster.members().get(s.member());
    switch (s.kind()) {
      case PROPOSE -> propose(cluster, s.amount() % 30);
      case RUN -> cluster.run(Duration.ofMillis(s.amount() * 20L));
      case CRASH -> member.crash();
      case START -> member.start();
      case FREEZE -> member.pause();
      case THAW -> member.resume();
      case CUT_OFF -> cluster.isolate(member);
      case CUT_ONE_WAY -> cluster.cutLink(member, cluster.members().get(s.amount() % MEMBERS));
      case DISTURB -> cluster.setNetworkFaults(s.amount() / 3, s.amount() / 3, s.amount());
      case HEAL -> cluster.healNetwork();
      case HAND_OVER -> member.on(new HandLeadershipOver());
      case LOSE_DISK -> loseDisk(cluster, member);
      default -> throw new IllegalArgumentException("unknown step " + s.kind());
    }
    cluster.run(Duration.ofMillis(s.amount() * 4L));
  }

  private static void propose(FakeCluster cluster, int count) {
    for (int i = 0; i < count; i++) {
      cluster.propose(cluster.members().get(i % MEMBERS));
    }
  }

  /** A second disk may only go once the first is replaced; the log promises no more than that. */
  private static void loseDisk(FakeCluster cluster, FakeMember member) {
    if (cluster.everyNodeVotes()) {
      member.loseDisk();
    }
  }

  private static void heal(FakeCluster cluster) {
    cluster.healNetwork();
    cluster.members().forEach(FakeMember::resume);
    cluster.members().forEach(FakeMember::start);
  }

  private static boolean everyoneApplies(FakeCluster cluster) {
    FakeMember leader = cluster.leader();
    if (leader == null || !cluster.everyNodeVotes()) {
      return false;
    }
    UUID proposal = cluster.propose(leader);
    cluster.run(Duration.ofMillis(300));
    return cluster.invariants().isCommitted(proposal)
        && cluster.members().stream().allMatch(m -> m.state().equals(leader.state()));
  }
}
