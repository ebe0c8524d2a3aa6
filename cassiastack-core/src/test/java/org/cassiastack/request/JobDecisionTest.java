package org.cassiastack.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.decision.Decision;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.queue.QueuedJobId;
import org.junit.jupiter.api.Test;

/**
 * The decisions of an entry about jobs that do not go the usual way. Guards against two runs of a
 * task of which the log does not tell when the request came and who had the job.
 */
class JobDecisionTest extends EntryScenario {
  private static final String JOB = new QueuedJobId(1).toString();

  @Test
  void a_job_for_a_fallback_dispatcher_is_reported_with_the_arrival_of_its_request() {
    Instant read = NOW.plusMillis(455);
    ticks(460);
    on(new PeerConnected(FIRST));

    List<Effect> effects =
        on(
            new RequestPosted(
                job(1, false),
                NOW.plusSeconds(9),
                new RequestArrival(
                    read, read.minusSeconds(30), read.minusMillis(120), Duration.ZERO)));

    assertThat(inputs(effects, "request_sent_to_fallback", "sent"))
        .contains("dispatcher=" + FIRST)
        .contains("read=" + read)
        .contains("connection_age=PT30S")
        .contains("idle=PT0.12S")
        .contains("read_pause=PT0S")
        .contains("last=none")
        .contains("request=1");
  }

  @Test
  void a_request_that_is_the_first_of_a_connection_of_unknown_age_is_described_without_them() {
    RequestArrival arrival = new RequestArrival(NOW, null, null, Duration.ofMillis(500));

    assertThat(arrival.describe())
        .isEqualTo("read=" + NOW + " connection_age=none idle=none read_pause=PT0.5S");
  }

  @Test
  void a_job_that_was_handed_over_is_reported_with_its_last_dispatcher() {
    sendToFirst();
    on(notice(NEXT_LEADER, 4));
    millis += 30;

    List<Effect> effects = on(reply(FIRST, 1, AnswerCode.HANDED_OVER));

    assertThat(inputs(effects, "request_sent_again", "handed_over"))
        .contains("leader=" + NEXT_LEADER)
        .contains("last=" + FIRST)
        .contains("handed_over=" + NOW.plusMillis(millis));
  }

  @Test
  void a_job_whose_caller_is_gone_is_reported_with_the_last_answer_to_a_probe() {
    on(submitted(1));
    on(new Received(LEADER, new CallerProbe(NOW)));
    ticks(20);
    millis += 200;

    List<Effect> effects = on(new RequestAbandoned(1));

    assertThat(inputs(effects, "caller_gone", "dropped"))
        .contains("last=" + LEADER)
        .contains("confirmed=" + NOW.plusMillis(10));
  }

  @Test
  void a_job_without_an_answer_at_its_deadline_is_reported_as_unanswered() {
    on(new RequestPosted(job(1, false), NOW.plusMillis(100)));

    List<Effect> effects = ticks(120);

    assertThat(inputs(effects, "job_unanswered", "deadline"))
        .contains("last=" + LEADER)
        .contains("confirmed=never");
  }

  @Test
  void a_job_that_the_controllers_get_after_its_deadline_is_reported_as_unanswered() {
    millis = 200;

    List<Effect> effects = on(new RequestPosted(job(1, false), NOW.plusMillis(100)));

    assertThat(inputs(effects, "job_unanswered", "late")).contains("last=none");
  }

  @Test
  void each_job_of_a_lost_fallback_dispatcher_is_reported_as_unanswered() {
    sendToFirst();

    List<Effect> effects = on(new PeerDisconnected(FIRST));

    assertThat(inputs(effects, "job_unanswered", "fallback_lost")).contains("last=" + FIRST);
  }

  @Test
  void a_refusal_that_is_not_passed_on_is_reported_with_its_sender() {
    sendToFirst();
    on(notice(NEXT_LEADER, 4));
    on(reply(FIRST, 1, AnswerCode.HANDED_OVER));

    List<Effect> effects = on(reply(NEXT_LEADER, 1, AnswerCode.OVERLOADED));

    assertThat(inputs(effects, "job_unanswered", "refusal_uncertain"))
        .contains("code=OVERLOADED from=" + NEXT_LEADER);
  }

  @Test
  void a_job_whose_leader_stays_silent_is_reported_under_its_identity() {
    on(submitted(1));

    List<Effect> effects = ticks(1_200);

    assertThat(inputs(effects, "answer_lost", "unanswered")).contains("last=" + LEADER);
    assertThat(effects).noneMatch(e -> e instanceof Decision d && isUnanswered(d));
  }

  @Test
  void a_request_that_is_no_job_is_not_reported_as_unanswered() {
    on(new RequestPosted(new AskQueueConfiguration(1), NOW.plusMillis(100)));

    assertThat(ticks(120))
        .contains(answered(1, AnswerCode.UNANSWERED))
        .noneMatch(e -> e instanceof Decision d && isUnanswered(d));
  }

  private static boolean isUnanswered(Decision d) {
    return d.event().equals("job_unanswered");
  }

  /** Returns the inputs of the only decision of a kind, which is about the job. */
  private static String inputs(List<Effect> effects, String event, String outcome) {
    List<Decision> found =
        effects.stream()
            .filter(e -> e instanceof Decision d && d.event().equals(event))
            .map(Decision.class::cast)
            .toList();
    assertThat(found).hasSize(1);
    assertThat(found.get(0).subject()).isEqualTo(JOB);
    assertThat(found.get(0).outcome()).isEqualTo(outcome);
    return found.get(0).inputs();
  }
}
