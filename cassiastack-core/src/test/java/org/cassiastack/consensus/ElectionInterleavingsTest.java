package org.cassiastack.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.junit.jupiter.api.Test;

/**
 * Explores, up to a bounded number of steps, every order of the messages and syncs of two
 * candidates and of a crash of the third member.
 */
class ElectionInterleavingsTest {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final Instant AFTER_ELECTION_TIMEOUT = START.plusSeconds(10);
  private static final List<MemberId> MEMBERS = List.of(member(0), member(1), member(2));
  private static final RaftSettings SETTINGS =
      RaftSettings.of(MEMBERS.stream().map(MemberId::node).toList());
  private static final int MAX_PATH_LENGTH = 7;

  private int exploredPaths;

  @Test
  void no_order_of_messages_syncs_and_a_crash_elects_two_leaders_in_a_term() {
    explore(new ArrayList<>());

    assertThat(exploredPaths).isGreaterThan(10_000);
  }

  /** Replays a path of choices, then explores each choice that is possible after the path. */
  private void explore(List<Integer> path) {
    Simulation simulation = new Simulation();
    path.forEach(simulation::perform);
    exploredPaths++;
    if (path.size() < MAX_PATH_LENGTH) {
      for (int i = 0; i < simulation.choiceCount(); i++) {
        List<Integer> longerPath = new ArrayList<>(path);
        longerPath.add(i);
        explore(longerPath);
      }
    }
  }

  private static MemberId member(int number) {
    return new MemberId(new NodeId("c" + number), new UUID(0, number));
  }

  /** Three members that have the first log entry; two of them have just started an election. */
  private static final class Simulation {
    private final List<FakeDisk> disks = new ArrayList<>();
    private final List<RaftController> controllers = new ArrayList<>();
    private final List<Send> sent = new ArrayList<>();
    private final Map<Long, MemberId> leaders = new HashMap<>();
    private boolean crashed;

    Simulation() {
      LogEntry first = LogEntry.members(1, 1, MemberSet.ofVoters(MEMBERS));
      for (MemberId m : MEMBERS) {
        FakeDisk disk = new FakeDisk(m.node(), m.dataFolder());
        disk.write(new Persist(1, new HardState(1, null), null, false, List.of(first)));
        disk.sync();
        disks.add(disk);
        controllers.add(create(disk));
      }
      // Each candidate is granted a pre-vote by the third member, so both start an election in the
      // same term.
      for (int candidate : List.of(0, 1)) {
        on(candidate, new Tick(), AFTER_ELECTION_TIMEOUT);
        VoteReply preVote = new VoteReply(MEMBERS.get(2), MEMBERS.get(candidate), 2, true, true);
        on(candidate, new Received(preVote.from().node(), preVote), AFTER_ELECTION_TIMEOUT);
      }
      sent.removeIf(s -> s.message() instanceof VoteRequest r && r.preVote());
    }

    int choiceCount() {
      return sent.size() + unsynced().size() + (crashed ? 0 : 1);
    }

    void perform(int choice) {
      List<Integer> unsynced = unsynced();
      if (choice < sent.size()) {
        Send s = sent.remove(choice);
        RaftMessage m = (RaftMessage) s.message();
        on(MEMBERS.indexOf(m.to()), new Received(m.from().node(), m), AFTER_ELECTION_TIMEOUT);
      } else if (choice < sent.size() + unsynced.size()) {
        int member = unsynced.get(choice - sent.size());
        on(member, new Persisted(disks.get(member).sync()), AFTER_ELECTION_TIMEOUT);
      } else {
        crashed = true;
        disks.get(2).crash(0);
        controllers.set(2, create(disks.get(2)));
      }
    }

    private List<Integer> unsynced() {
      List<Integer> members = new ArrayList<>();
      for (int i = 0; i < disks.size(); i++) {
        if (disks.get(i).unsyncedWrites() > 0) {
          members.add(i);
        }
      }
      return members;
    }

    private void on(int member, Event event, Instant now) {
      for (Effect e : controllers.get(member).on(event, now)) {
        if (e instanceof Persist p) {
          disks.get(member).write(p);
        } else if (e instanceof Send s) {
          send(s);
        }
      }
    }

    private void send(Send s) {
      if (s.message() instanceof AppendRequest r) {
        assertThat(leaders.computeIfAbsent(r.term(), t -> r.from())).isEqualTo(r.from());
      } else if (!(s.message() instanceof AppendReply)) {
        sent.add(s);
      }
    }

    private static RaftController create(FakeDisk disk) {
      RaftController c = RaftController.create(SETTINGS, disk.recover(), new Random(1));
      c.on(new Tick(), START);
      return c;
    }
  }
}
