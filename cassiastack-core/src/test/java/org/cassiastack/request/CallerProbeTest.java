package org.cassiastack.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.QueuedJobId;
import org.junit.jupiter.api.Test;

/** An entry that answers the probes of dispatchers with the jobs that its callers wait for. */
class CallerProbeTest extends EntryScenario {
  /** Guards against runs that go on while callers send their jobs to another dispatcher. */
  @Test
  void names_the_jobs_that_callers_wait_for_in_answer_to_a_probe() {
    on(submitted(1));
    on(submitted(2));
    on(submitted(3));
    on(posted(job(4, true)));
    on(reply(LEADER, 2, AnswerCode.ACCEPTED));
    on(new RequestAbandoned(3));
    on(probe(LEADER, NOW));

    List<Effect> effects = ticks(20);

    assertThat(effects)
        .contains(new Send(LEADER, new AwaitedJobs(NOW, List.of(new QueuedJobId(1)))));
  }

  /** Guards against a confirmation before the lost connections of a pause are noticed. */
  @Test
  void answers_a_probe_only_10_ms_after_its_arrival() {
    on(submitted(1));
    on(probe(LEADER, NOW));

    List<Effect> early = on(new Tick());
    millis += 9;
    early.addAll(on(new Tick()));
    millis += 1;
    List<Effect> late = on(new Tick());

    assertThat(early).noneMatch(CallerProbeTest::isAwaitedJobs);
    assertThat(late).anyMatch(CallerProbeTest::isAwaitedJobs);
  }

  @Test
  void names_no_job_to_a_dispatcher_that_does_not_have_it() {
    on(submitted(1));
    on(probe(FIRST, NOW));
    on(probe(NEXT_LEADER, NOW));

    assertThat(ticks(20)).noneMatch(CallerProbeTest::isAwaitedJobs);
  }

  @Test
  void names_no_job_after_its_deadline() {
    on(new RequestPosted(job(1, false), NOW.plusMillis(5)));
    on(probe(LEADER, NOW));

    assertThat(ticks(20)).noneMatch(CallerProbeTest::isAwaitedJobs);
  }

  @Test
  void sends_a_job_with_the_last_probe_of_its_dispatcher() {
    on(probe(LEADER, NOW));
    ticks(20);
    on(probe(LEADER, NOW.plusMillis(150)));

    List<Effect> effects = on(submitted(1));

    assertThat(effects).contains(new Send(LEADER, new AwaitedSubmit(job(1, false), NOW)));
  }

  /** Guards against times by the clock of an earlier incarnation of the dispatcher. */
  @Test
  void forgets_the_probes_of_a_dispatcher_when_the_connection_is_lost() {
    on(probe(LEADER, NOW));
    ticks(20);
    on(new PeerDisconnected(LEADER));
    on(new PeerConnected(LEADER));
    on(notice(LEADER, 3));

    List<Effect> effects = on(submitted(1));

    assertThat(effects).contains(new Send(LEADER, job(1, false)));
  }

  @Test
  void sends_no_job_whose_caller_is_gone_to_a_new_leader() {
    on(submitted(1));
    on(submitted(2));
    on(new RequestAbandoned(1));

    List<Effect> effects = on(notice(NEXT_LEADER, 4));

    assertThat(effects.stream().filter(CallerProbeTest::isSentToNextLeader)).hasSize(1);
  }

  @Test
  void a_stored_job_is_sent_to_a_new_leader_although_its_caller_is_gone() {
    on(posted(job(1, true)));
    on(new RequestAbandoned(1));

    List<Effect> effects = on(notice(NEXT_LEADER, 4));

    assertThat(effects.stream().filter(CallerProbeTest::isSentToNextLeader)).hasSize(1);
  }

  private static boolean isSentToNextLeader(Effect e) {
    return e instanceof Send s && s.to().equals(NEXT_LEADER) && isResubmission(s);
  }

  private static boolean isAwaitedJobs(Effect e) {
    return e instanceof Send s && s.message() instanceof AwaitedJobs;
  }

  private static Received probe(NodeId from, Instant sentAt) {
    return new Received(from, new CallerProbe(sentAt));
  }
}
