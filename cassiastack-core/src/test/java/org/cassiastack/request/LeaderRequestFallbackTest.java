package org.cassiastack.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.fallback.FallbackOffer;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Send;
import org.junit.jupiter.api.Test;

/** An entry that uses fallback dispatchers while its leader is silent. */
class LeaderRequestFallbackTest extends EntryScenario {
  @Test
  void offers_itself_to_a_control_member_on_connecting_and_after_a_change_of_leader() {
    List<Effect> onConnecting = on(new PeerConnected(NEXT_LEADER));
    List<Effect> repeated = on(notice(LEADER, 3));
    List<Effect> onChange = on(notice(NEXT_LEADER, 4));

    assertThat(onConnecting).contains(new Send(NEXT_LEADER, new FallbackOffer(DOMAIN, true)));
    assertThat(repeated).isEmpty();
    assertThat(onChange).contains(new Send(NEXT_LEADER, new FallbackOffer(DOMAIN, true)));
  }

  @Test
  void dials_the_dispatchers_and_sends_new_jobs_there_after_450_ms_without_the_leader() {
    List<Effect> early = ticks(440);
    List<Effect> late = ticks(20);
    on(new PeerConnected(FIRST));

    List<Effect> effects = on(submitted(1));

    assertThat(early).noneMatch(DialFallback.class::isInstance);
    assertThat(late).contains(new DialFallback(List.of(FIRST, SECOND)));
    assertThat(effects).contains(new Send(FIRST, new FallbackSubmit(job(1, false), VERSION, null)));
  }

  @Test
  void sends_a_job_that_came_during_the_silence_once_a_dispatcher_is_connected() {
    on(new PeerDisconnected(LEADER));
    on(submitted(1));
    ticks(460);

    List<Effect> effects = on(new PeerConnected(FIRST));

    assertThat(submissionsTo(FIRST, effects)).isEqualTo(1);
  }

  /** Guards against jobs at a dispatcher to which no agent reports yet. */
  @Test
  void waits_for_the_first_dispatcher_of_the_domain_before_it_uses_the_next_one() {
    ticks(460);
    on(new PeerConnected(SECOND));

    List<Effect> early = on(submitted(1));
    List<Effect> late = ticks(300);

    assertThat(submissionsTo(SECOND, early)).isZero();
    assertThat(submissionsTo(SECOND, late)).isEqualTo(1);
  }

  @Test
  void an_entry_may_be_its_own_dispatcher() {
    directory(SELF, FIRST);
    ticks(460);

    assertThat(submissionsTo(SELF, on(submitted(1)))).isEqualTo(1);
  }

  /** Guards against a job that runs at a leader and at a fallback dispatcher. */
  @Test
  void never_sends_a_job_to_a_dispatcher_that_was_sent_to_a_leader() {
    on(new PeerConnected(FIRST));
    on(submitted(1));

    List<Effect> effects = ticks(1_100);

    assertThat(submissionsTo(FIRST, effects)).isZero();
    assertThat(effects).noneMatch(RequestAnswered.class::isInstance);
  }

  @Test
  void answers_a_job_as_unanswered_when_its_leader_is_gone_for_longer_than_any_lease() {
    on(submitted(1));

    List<Effect> effects = ticks(1_200);

    assertThat(effects).contains(answered(1, AnswerCode.UNANSWERED));
  }

  @Test
  void sends_durable_jobs_to_the_leader_only() {
    ticks(460);
    on(new PeerConnected(FIRST));

    List<Effect> effects = on(posted(job(1, true)));

    assertThat(submissionsTo(FIRST, effects)).isZero();
  }

  @Test
  void tries_the_next_dispatcher_after_a_refusal_and_refuses_the_job_when_none_takes_it() {
    ticks(700);
    on(new PeerConnected(FIRST));
    on(new PeerConnected(SECOND));
    on(submitted(1));

    List<Effect> next = on(reply(FIRST, 1, AnswerCode.NOT_LEADER));
    on(reply(SECOND, 1, AnswerCode.NOT_LEADER));
    on(new PeerDisconnected(FIRST));
    on(new PeerDisconnected(SECOND));
    List<Effect> last = ticks(400);

    assertThat(submissionsTo(SECOND, next)).isEqualTo(1);
    assertThat(last).contains(answered(1, AnswerCode.NO_LEADER));
  }

  @Test
  void asks_the_first_dispatcher_again_if_it_engages_a_little_later_than_this_entry() {
    sendToFirst();
    on(new PeerConnected(SECOND));
    on(reply(FIRST, 1, AnswerCode.NOT_LEADER));

    List<Effect> effects = ticks(20);

    assertThat(submissionsTo(FIRST, effects)).isEqualTo(1);
    assertThat(submissionsTo(SECOND, effects)).isZero();
  }

  @Test
  void passes_on_a_refusal_of_the_only_dispatcher_that_has_got_the_job() {
    sendToFirst();

    List<Effect> effects = on(reply(FIRST, 1, AnswerCode.OVERLOADED));

    assertThat(effects).contains(answered(1, AnswerCode.OVERLOADED));
  }

  @Test
  void ignores_an_answer_from_another_process_than_the_one_that_has_the_job() {
    sendToFirst();

    assertThat(on(reply(LEADER, 1, AnswerCode.OVERLOADED)))
        .noneMatch(RequestAnswered.class::isInstance);
  }

  @Test
  void sends_a_job_that_was_handed_over_to_the_leader_as_a_resubmission() {
    sendToFirst();
    on(notice(NEXT_LEADER, 4));

    List<Effect> sent = on(reply(FIRST, 1, AnswerCode.HANDED_OVER));
    List<Effect> refused = on(reply(NEXT_LEADER, 1, AnswerCode.OVERLOADED));

    assertThat(sent)
        .anyMatch(e -> e instanceof Send s && s.to().equals(NEXT_LEADER) && isResubmission(s));
    assertThat(refused).contains(answered(1, AnswerCode.UNANSWERED));
  }

  @Test
  void keeps_a_job_that_was_handed_over_until_a_leader_is_heard() {
    sendToFirst();

    List<Effect> before = on(reply(FIRST, 1, AnswerCode.HANDED_OVER));
    List<Effect> after = on(notice(NEXT_LEADER, 4));

    assertThat(before).noneMatch(e -> e instanceof Send s && !s.to().equals(LEADER));
    assertThat(after)
        .anyMatch(e -> e instanceof Send s && s.to().equals(NEXT_LEADER) && isResubmission(s));
  }

  @Test
  void answers_jobs_at_once_when_the_connection_to_their_dispatcher_is_lost() {
    sendToFirst();

    assertThat(on(new PeerDisconnected(FIRST))).contains(answered(1, AnswerCode.UNANSWERED));
  }

  @Test
  void sends_a_job_to_another_leader_as_a_resubmission() {
    on(submitted(1));

    List<Effect> effects = on(notice(NEXT_LEADER, 4));

    assertThat(effects)
        .anyMatch(e -> e instanceof Send s && s.to().equals(NEXT_LEADER) && isResubmission(s));
  }

  @Test
  void sends_a_cancellation_to_the_dispatcher_while_the_leader_is_silent() {
    CancelJob cancellation = new CancelJob(1, new QueueAddress("h", "/p/1"));
    ticks(460);
    on(new PeerConnected(FIRST));

    List<Effect> effects = on(posted(cancellation));

    assertThat(effects).contains(new Send(FIRST, cancellation));
  }

  /** Guards against an entry that takes its own pause for silence of the leader. */
  @Test
  void does_not_count_a_pause_of_the_entry_as_silence_of_the_leader() {
    on(new PeerConnected(FIRST));
    millis += 3_000;

    List<Effect> effects = on(submitted(1));

    assertThat(submissionsTo(FIRST, effects)).isZero();
    assertThat(effects).anyMatch(e -> e instanceof Send s && s.to().equals(LEADER));
  }

  @Test
  void hangs_up_some_seconds_after_the_leader_is_heard_again() {
    ticks(460);

    List<Effect> effects = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      effects.addAll(on(notice(LEADER, 3)));
      effects.addAll(ticks(200));
    }

    assertThat(effects).containsOnlyOnce(new HangUpFallback());
  }

  private static long submissionsTo(NodeId node, List<Effect> effects) {
    return effects.stream()
        .filter(
            e ->
                e instanceof Send s && s.to().equals(node) && s.message() instanceof FallbackSubmit)
        .count();
  }
}
