package org.cassiastack.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.UUID;
import org.cassiastack.consensus.CommandCommitted;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.ProposalRefused;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.consensus.SingleMemberLog;
import org.cassiastack.consensus.SnapshotRequested;
import org.cassiastack.consensus.SnapshotRestored;
import org.cassiastack.consensus.SnapshotTaken;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.junit.jupiter.api.Test;

class ConfigurationControllerTest {
  private static final UUID FIRST = new UUID(0, 1);
  private static final UUID SECOND = new UUID(0, 2);
  private static final ChangeId CHANGE = new ChangeId(new UUID(1, 1));
  private static final ChangeId OTHER = new ChangeId(new UUID(1, 2));

  private final InMemoryConfigurationCodec codec = new InMemoryConfigurationCodec();
  private final ConfigurationController controller = ConfigurationController.create(codec);
  private Instant now = Instant.parse("2026-12-04T08:00:00Z");

  @Test
  void one_of_two_concurrent_changes_with_the_same_base_is_accepted() {
    List<Event> first = run(request(FIRST, CHANGE, 0, 1), SingleMemberLog.create(), controller);
    SingleMemberLog log = SingleMemberLog.create();
    List<Event> second = run(request(SECOND, OTHER, 0, 2), log, controller);

    assertThat(answers(first)).containsExactly(answer(FIRST, ResultCode.ACCEPTED, 1));
    assertThat(answers(second)).containsExactly(answer(SECOND, ResultCode.STALE_BASE, 1));
  }

  @Test
  void decides_by_the_order_in_the_log_and_not_by_the_order_of_arrival() {
    ProposeCommand early = proposal(request(FIRST, CHANGE, 0, 1));
    ProposeCommand late = proposal(request(SECOND, OTHER, 0, 2));

    List<Event> events = run(new CommandCommitted(1, SECOND, late.command()), controller);
    events.addAll(run(new CommandCommitted(2, FIRST, early.command()), controller));

    assertThat(answers(events))
        .containsExactly(
            answer(SECOND, ResultCode.ACCEPTED, 1), answer(FIRST, ResultCode.STALE_BASE, 1));
  }

  @Test
  void a_change_that_is_submitted_again_after_a_lost_answer_gets_the_same_answer() {
    SingleMemberLog log = SingleMemberLog.create();
    run(request(FIRST, CHANGE, 0, 1), log, controller);
    run(request(new UUID(0, 3), OTHER, 1, 2), log, controller);

    List<Event> again = run(request(SECOND, CHANGE, 0, 1), log, controller);

    assertThat(answers(again)).containsExactly(answer(SECOND, ResultCode.ACCEPTED, 1));
    assertThat(again).noneMatch(ConfigurationChanged.class::isInstance);
  }

  @Test
  void a_change_id_that_is_reused_for_other_content_is_refused() {
    SingleMemberLog log = SingleMemberLog.create();
    run(request(FIRST, CHANGE, 0, 1), log, controller);

    List<Event> again = run(request(SECOND, CHANGE, 1, 2), log, controller);

    assertThat(answers(again)).containsExactly(answer(SECOND, ResultCode.CHANGE_ID_REUSED, 1));
  }

  @Test
  void a_member_that_is_not_the_leader_answers_no_leader() {
    run(request(FIRST, CHANGE, 0, 1), controller);

    List<Event> refused = run(new ProposalRefused(FIRST, new NodeId("entry-2")), controller);

    assertThat(answers(refused)).containsExactly(answer(FIRST, ResultCode.NO_LEADER, 0));
  }

  @Test
  void a_leader_that_loses_leadership_before_the_commit_leaves_the_change_unresolved() {
    run(request(FIRST, CHANGE, 0, 1), controller);

    List<Event> lost = run(new LeaderChanged(2, null, false), controller);

    assertThat(answers(lost)).containsExactly(answer(FIRST, ResultCode.CHANGE_UNRESOLVED, 0));
  }

  @Test
  void a_commit_that_does_not_come_in_time_leaves_the_change_unresolved() {
    run(request(FIRST, CHANGE, 0, 1), controller);

    now = now.plus(ConfigurationController.COMMIT_TIMEOUT);
    List<Event> late = run(new Tick(), controller);

    assertThat(answers(late)).containsExactly(answer(FIRST, ResultCode.CHANGE_UNRESOLVED, 0));
  }

  @Test
  void an_unresolved_change_that_was_committed_later_is_accepted_when_submitted_again() {
    ProposeCommand proposed = proposal(request(FIRST, CHANGE, 0, 1));
    run(new LeaderChanged(2, null, false), controller);
    run(new CommandCommitted(1, FIRST, proposed.command()), controller);

    List<Event> again = run(request(SECOND, CHANGE, 0, 1), SingleMemberLog.create(), controller);

    assertThat(answers(again)).containsExactly(answer(SECOND, ResultCode.ACCEPTED, 1));
  }

  @Test
  void a_member_that_restarts_after_hundreds_of_changes_recovers_them_from_a_snapshot() {
    SingleMemberLog log = SingleMemberLog.create();
    for (int i = 0; i < 500; i++) {
      run(request(new UUID(5, i), new ChangeId(new UUID(6, i)), i, i), log, controller);
    }
    SnapshotTaken taken = (SnapshotTaken) run(new SnapshotRequested(500), controller).get(0);

    ConfigurationController restarted = ConfigurationController.create(codec);
    List<Event> restored = run(new SnapshotRestored(500, taken.state()), restarted);
    List<Event> again = run(request(FIRST, new ChangeId(new UUID(6, 17)), 17, 17), log, restarted);

    assertThat(restored)
        .contains(
            new ConfigurationChanged(Configurations.numbered(499).withRevision(new Revision(500))));
    assertThat(answers(again)).containsExactly(answer(FIRST, ResultCode.ACCEPTED, 18));
  }

  private ProposeCommand proposal(ApplyRequested request) {
    return (ProposeCommand) run(request, controller).get(0);
  }

  /** Passes an event to controllers and returns all events that they raised as a result. */
  private List<Event> run(Event first, Controller... controllers) {
    List<Event> raised = new ArrayList<>();
    Queue<Event> queue = new ArrayDeque<>(List.of(first));
    for (Event e = queue.poll(); e != null; e = queue.poll()) {
      for (Controller c : controllers) {
        c.on(e, now).forEach(effect -> queue.add(((Raise) effect).event()));
      }
      raised.add(e);
    }
    raised.remove(0);
    return raised;
  }

  private static ApplyRequested request(UUID request, ChangeId change, long base, int content) {
    return new ApplyRequested(
        request, change, new Revision(base), Configurations.numbered(content));
  }

  private static ApplyAnswered answer(UUID request, ResultCode code, long revision) {
    return new ApplyAnswered(request, new ApplyResult(code, new Revision(revision)));
  }

  private static List<ApplyAnswered> answers(List<Event> events) {
    return events.stream()
        .filter(ApplyAnswered.class::isInstance)
        .map(ApplyAnswered.class::cast)
        .toList();
  }
}
