package org.cassiastack.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackNode;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.junit.jupiter.api.BeforeEach;

/** Base of tests of an entry that hears a leader and knows two fallback dispatchers. */
abstract class EntryScenario {
  static final Instant NOW = Instant.parse("2026-12-04T08:00:00Z");
  static final NodeId LEADER = new NodeId("10.0.0.1");
  static final NodeId NEXT_LEADER = new NodeId("10.0.0.2");
  static final NodeId SELF = new NodeId("10.0.0.9/entry");
  static final NodeId FIRST = new NodeId("10.0.0.5/entry");
  static final NodeId SECOND = new NodeId("10.0.0.6/entry");
  static final FailureDomain DOMAIN = new FailureDomain("a");
  static final long VERSION = 12;

  final LeaderRequestController controller =
      LeaderRequestController.withFallback(
          new EntryFallback(SELF, DOMAIN, true, Duration.ofMillis(1_170)));
  long millis;

  @BeforeEach
  void hear_a_leader() {
    on(new PeerConnected(LEADER));
    on(notice(LEADER, 3));
    directory(FIRST, SECOND);
  }

  List<Effect> on(Event event) {
    return controller.on(event, NOW.plusMillis(millis));
  }

  List<Effect> ticks(long duration) {
    List<Effect> effects = new ArrayList<>();
    for (long end = millis + duration; millis < end; ) {
      millis += 10;
      effects.addAll(on(new Tick()));
    }
    return effects;
  }

  void directory(NodeId... nodes) {
    List<FallbackNode> list = new ArrayList<>();
    for (NodeId n : nodes) {
      list.add(new FallbackNode(n, DOMAIN));
    }
    on(new Received(LEADER, new FallbackDirectory(3, VERSION, list)));
  }

  RequestPosted submitted(long id) {
    return posted(job(id, false));
  }

  RequestPosted posted(LeaderRequest request) {
    return new RequestPosted(request, NOW.plusMillis(millis).plusSeconds(9));
  }

  /** Submits a job when the leader is silent and the first fallback dispatcher is connected. */
  void sendToFirst() {
    ticks(460);
    on(new PeerConnected(FIRST));
    on(submitted(1));
  }

  static SubmitJob job(long id, boolean durable) {
    List<StepSpec> steps = List.of(StepSpec.plain(1, 100, 1, Duration.ofMillis(50)));
    QueuedJob job = new QueuedJob(new QueuedJobId(id), "spec", steps, durable);
    return SubmitJob.of(id, new QueueAddress("h", "/p/1"), job, Duration.ofSeconds(9));
  }

  static boolean isResubmission(Send s) {
    return s.message() instanceof ResubmitJob;
  }

  static Received reply(NodeId from, long id, AnswerCode code) {
    return new Received(from, new LeaderReply(id, RequestAnswer.of(code), 3));
  }

  static RequestAnswered answered(long id, AnswerCode code) {
    return new RequestAnswered(id, RequestAnswer.of(code));
  }

  static Received notice(NodeId leader, long term) {
    LeaderNotice n = new LeaderNotice(term, leader, List.of(LEADER, NEXT_LEADER));
    return new Received(leader, n);
  }
}
