package org.cassiastack.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;

/**
 * Checks the invariants of Raft over all members: one leader per term, equal logs, equal states,
 * one lease.
 */
final class Invariants {
  private final Map<Long, MemberId> leaders = new HashMap<>();
  private final Map<String, LogEntry> entries = new HashMap<>();
  private final TreeMap<Long, UUID> committed = new TreeMap<>();
  private final Map<Long, String> states = new HashMap<>();

  void checkSent(RaftMessage message) {
    if (message instanceof AppendRequest r) {
      assertThat(leaders.computeIfAbsent(r.term(), t -> r.from()))
          .as("one leader in term %s", r.term())
          .isEqualTo(r.from());
      r.entries().forEach(this::checkMatches);
    }
  }

  void checkApplied(long index, UUID proposal, String state) {
    assertThat(committed.computeIfAbsent(index, i -> proposal))
        .as("committed at index %s", index)
        .isEqualTo(proposal);
    assertThat(states.computeIfAbsent(index, i -> state))
        .as("state at index %s", index)
        .isEqualTo(state);
  }

  /** Checks that no leader commits while another member holds the lease of an earlier term. */
  void checkNoOtherLease(FakeMember leader, Iterable<FakeMember> members) {
    for (FakeMember m : members) {
      Instant local = m.localNow();
      boolean holds = m.isUp() && m.leaderView().leading() && local.isBefore(m.leaseUntil());
      if (m != leader && holds) {
        assertThat(m.leaderView().term())
            .as("lease of %s while %s commits", m.node(), leader.node())
            .isGreaterThanOrEqualTo(leader.leaderView().term());
      }
    }
  }

  boolean isCommitted(UUID proposal) {
    return committed.containsValue(proposal);
  }

  int commands() {
    return committed.size();
  }

  private void checkMatches(LogEntry e) {
    String key = e.index() + "/" + e.term();
    assertThat(entries.computeIfAbsent(key, k -> e)).as("entry %s", key).isEqualTo(e);
  }
}
