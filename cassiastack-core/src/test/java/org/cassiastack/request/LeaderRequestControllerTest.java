package org.cassiastack.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.junit.jupiter.api.Test;

class LeaderRequestControllerTest {
  private static final Instant NOW = Instant.parse("2026-12-04T08:00:00Z");
  private static final NodeId FIRST = new NodeId("10.0.0.1");
  private static final NodeId SECOND = new NodeId("10.0.0.2");
  private static final FailureDomain DOMAIN = new FailureDomain("a");
  private static final AskJob REQUEST = new AskJob(1, new QueueAddress("h", "/p/1"));

  private final LeaderRequestController controller = LeaderRequestController.create();

  @Test
  void sends_a_request_to_the_leader_and_passes_on_the_answer() {
    on(notice(FIRST, 1, FIRST), 0);

    List<Effect> sent = on(requestPosted(), 0);
    List<Effect> answered = on(reply(FIRST, AnswerCode.FOUND), 5);

    assertThat(sent).containsExactly(new Send(FIRST, REQUEST));
    assertThat(answered)
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.FOUND)));
  }

  @Test
  void sends_a_request_again_to_the_next_leader() {
    on(notice(FIRST, 1, FIRST), 0);
    on(requestPosted(), 0);

    List<Effect> effects = on(notice(SECOND, 2, SECOND), 50);

    assertThat(effects).contains(new Send(SECOND, REQUEST));
  }

  @Test
  void ignores_a_leader_of_an_earlier_term() {
    on(notice(FIRST, 2, FIRST), 0);

    assertThat(on(notice(SECOND, 1, SECOND), 10)).isEmpty();
  }

  @Test
  void refuses_a_request_after_a_short_wait_without_a_leader() {
    on(requestPosted(), 0);

    List<Effect> early = on(new Tick(), 200);
    List<Effect> late = on(new Tick(), 301);

    assertThat(early).isEmpty();
    assertThat(late)
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.NO_LEADER)));
  }

  @Test
  void refuses_a_request_at_once_when_an_election_is_overdue() {
    on(notice(FIRST, 1, FIRST), 0);
    on(new PeerDisconnected(FIRST), 10);
    on(new Tick(), 710);

    List<Effect> effects = on(requestPosted(), 711);

    assertThat(effects)
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.NO_LEADER)));
  }

  @Test
  void waits_for_a_leader_again_after_a_known_leader_was_lost() {
    on(new Tick(), 0);
    on(notice(FIRST, 1, FIRST), 2_000);
    on(new PeerDisconnected(FIRST), 2_010);

    assertThat(on(new RequestPosted(REQUEST, NOW.plusSeconds(3)), 2_020)).isEmpty();
  }

  @Test
  void reports_a_request_as_unanswered_if_a_leader_may_have_received_it() {
    on(notice(FIRST, 1, FIRST), 0);
    on(requestPosted(), 0);
    on(new PeerDisconnected(FIRST), 10);

    List<Effect> beforeDeadline = on(new Tick(), 500);
    List<Effect> atDeadline = on(new Tick(), 1_001);

    assertThat(beforeDeadline).isEmpty();
    assertThat(atDeadline)
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.UNANSWERED)));
  }

  @Test
  void a_not_leader_answer_from_the_only_receiver_proves_that_a_request_had_no_effect() {
    on(notice(FIRST, 1, FIRST), 0);
    on(requestPosted(), 0);
    on(reply(FIRST, AnswerCode.NOT_LEADER), 5);
    on(notice(FIRST, 1, null), 6);

    List<Effect> effects = on(new Tick(), 400);

    assertThat(effects)
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.NO_LEADER)));
  }

  @Test
  void a_refusal_by_a_second_leader_does_not_prove_that_a_job_has_not_run() {
    on(notice(FIRST, 1, FIRST), 0);
    on(new RequestPosted(submission(), NOW.plusSeconds(1)), 0);
    on(notice(SECOND, 2, SECOND), 50);

    List<Effect> effects = on(reply(SECOND, AnswerCode.OVERLOADED), 55);

    assertThat(withoutReport(effects, "refusal_uncertain"))
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.UNANSWERED)));
  }

  @Test
  void a_refusal_of_a_repeated_job_is_passed_on_if_only_one_leader_got_the_job() {
    on(notice(FIRST, 1, FIRST), 0);
    on(new RequestPosted(submission(), NOW.plusSeconds(1)), 0);
    on(new Tick(), 400);

    List<Effect> effects = on(reply(FIRST, AnswerCode.OVERLOADED), 410);

    assertThat(effects)
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.OVERLOADED)));
  }

  @Test
  void a_refusal_by_a_leader_in_its_second_term_does_not_prove_that_a_job_has_not_run() {
    on(notice(FIRST, 1, FIRST), 0);
    on(new RequestPosted(submission(), NOW.plusSeconds(1)), 0);
    on(notice(FIRST, 1, null), 10);
    on(notice(FIRST, 2, FIRST), 20);

    List<Effect> effects = on(reply(FIRST, AnswerCode.OVERLOADED), 30);

    assertThat(withoutReport(effects, "refusal_uncertain"))
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.UNANSWERED)));
  }

  @Test
  void a_refusal_in_a_later_term_does_not_prove_that_a_job_sent_earlier_has_not_run() {
    on(notice(FIRST, 1, FIRST), 0);
    on(new RequestPosted(submission(), NOW.plusSeconds(9)), 0);
    on(new Tick(), 400);

    List<Effect> effects = on(reply(FIRST, AnswerCode.OVERLOADED, 2), 410);

    assertThat(withoutReport(effects, "refusal_uncertain"))
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.UNANSWERED)));
  }

  @Test
  void a_refusal_after_the_connection_was_lost_does_not_prove_that_a_job_has_not_run() {
    on(notice(FIRST, 1, FIRST), 0);
    on(new RequestPosted(submission(), NOW.plusSeconds(9)), 0);
    on(new PeerDisconnected(FIRST), 100);
    on(notice(FIRST, 1, FIRST), 6_000);

    List<Effect> effects = on(reply(FIRST, AnswerCode.OVERLOADED), 6_010);

    assertThat(withoutReport(effects, "refusal_uncertain"))
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.UNANSWERED)));
  }

  @Test
  void sends_the_wait_time_of_a_job_to_the_next_leader() {
    on(new RequestPosted(submission(), NOW.plusSeconds(1)), 0);

    List<Effect> effects = on(notice(FIRST, 1, FIRST), 250);

    assertThat(effects)
        .contains(new Send(FIRST, submission().withAdditionalWait(Duration.ofMillis(250))));
  }

  @Test
  void repeats_a_request_with_increasing_delay_while_the_leader_does_not_answer() {
    on(notice(FIRST, 1, FIRST), 0);
    on(new RequestPosted(REQUEST, NOW.plusSeconds(60)), 0);

    List<Long> sentAt = new ArrayList<>();
    for (long millis = 100; millis <= 7_000; millis += 100) {
      if (on(new Tick(), millis).contains(new Send(FIRST, REQUEST))) {
        sentAt.add(millis);
      }
    }

    assertThat(sentAt).containsExactly(400L, 1_200L, 2_800L, 4_400L, 6_000L);
  }

  @Test
  void repeats_a_request_that_the_leader_does_not_answer() {
    on(notice(FIRST, 1, FIRST), 0);
    on(requestPosted(), 0);

    assertThat(on(new Tick(), 300)).isEmpty();
    assertThat(on(new Tick(), 400))
        .containsExactly(
            Decision.of(
                "request_sent_again",
                1,
                "leader_silent",
                "leader=" + FIRST + " sends=1 since=" + NOW),
            new Send(FIRST, REQUEST));
  }

  @Test
  void sends_no_request_whose_deadline_passed_while_the_process_was_paused() {
    on(notice(FIRST, 1, FIRST), 0);

    List<Effect> effects = on(new RequestPosted(submission(), NOW.plusSeconds(1)), 5_000);

    assertThat(withoutReport(effects, "late"))
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.UNANSWERED)));
  }

  @Test
  void sends_an_order_with_the_revision_that_the_leader_states_while_the_operator_waits() {
    on(notice(FIRST, 1, FIRST), 0);

    List<Effect> asked = on(order(900), 0);
    List<Effect> sent = on(revision(3), 5);
    List<Effect> answered = on(reply(FIRST, AnswerCode.ACCEPTED), 10);

    assertThat(asked).containsExactly(new Send(FIRST, new AskQueueConfiguration(1)));
    assertThat(sent)
        .containsExactly(
            new Send(FIRST, new SwitchDomainSince(1, DOMAIN, true, new DomainRevision(1, 3))));
    assertThat(answered)
        .containsExactly(new RequestAnswered(1, RequestAnswer.of(AnswerCode.ACCEPTED)));
  }

  @Test
  void asks_for_confirmation_of_an_order_whose_operator_may_have_stopped_waiting() {
    on(notice(FIRST, 1, FIRST), 0);
    on(order(900), 0);

    List<Effect> effects = on(revision(3), 901);

    assertThat(effects)
        .contains(
            new RequestAnswered(1, RequestAnswer.confirmationNeeded(new DomainRevision(1, 3))))
        .noneMatch(Send.class::isInstance);
  }

  @Test
  void sends_a_confirmed_order_with_the_revision_of_the_confirmation() {
    DomainRevision confirmed = new DomainRevision(1, 2);
    on(notice(FIRST, 1, FIRST), 0);

    List<Effect> effects =
        on(new DomainOrder(1, DOMAIN, false, NOW, confirmed, NOW.plusSeconds(1)), 500);

    assertThat(effects)
        .containsExactly(new Send(FIRST, new SwitchDomainSince(1, DOMAIN, false, confirmed)));
  }

  @Test
  void a_repeated_statement_of_the_revision_does_not_acknowledge_an_order() {
    on(notice(FIRST, 1, FIRST), 0);
    on(order(900), 0);
    on(revision(3), 5);

    assertThat(on(revision(3), 6)).isEmpty();
  }

  @Test
  void sends_an_order_as_it_is_to_a_leader_of_a_version_that_numbers_no_orders() {
    on(notice(FIRST, 1, FIRST), 0);
    on(order(900), 0);

    List<Effect> effects = on(revision(0), 5);

    assertThat(effects).containsExactly(new Send(FIRST, new SwitchDomain(1, DOMAIN, true)));
  }

  private static DomainOrder order(long waitMillis) {
    return new DomainOrder(1, DOMAIN, true, NOW.plusMillis(waitMillis), null, NOW.plusSeconds(1));
  }

  private static Received revision(int number) {
    RequestAnswer answer = RequestAnswer.configuration(Payload.ofText("document"), number);
    return new Received(FIRST, new LeaderReply(1, answer, 1));
  }

  private List<Effect> on(Event event, long millis) {
    return controller.on(event, NOW.plusMillis(millis));
  }

  /** Returns the effects but for the last one, which reports that the job is unanswered. */
  private static List<Effect> withoutReport(List<Effect> effects, String reason) {
    int last = effects.size() - 1;
    assertThat(effects.get(last)).isInstanceOf(Decision.class);
    Decision report = (Decision) effects.get(last);
    assertThat(report.event()).isEqualTo("job_unanswered");
    assertThat(report.outcome()).isEqualTo(reason);
    return effects.subList(0, last);
  }

  private static RequestPosted requestPosted() {
    return new RequestPosted(REQUEST, NOW.plus(Duration.ofSeconds(1)));
  }

  private static SubmitJob submission() {
    List<StepSpec> steps = List.of(StepSpec.plain(1, 100, 1, Duration.ofMillis(50)));
    QueuedJob job = new QueuedJob(new QueuedJobId(1), "spec", steps, false);
    return SubmitJob.of(1, new QueueAddress("h", "/p/1"), job, Duration.ofSeconds(1));
  }

  private static Received notice(NodeId from, long term, NodeId leader) {
    return new Received(from, new LeaderNotice(term, leader, List.of(FIRST, SECOND)));
  }

  private static Received reply(NodeId from, AnswerCode code) {
    return reply(from, code, 1);
  }

  private static Received reply(NodeId from, AnswerCode code, long term) {
    return new Received(from, new LeaderReply(1, RequestAnswer.of(code), term));
  }
}
