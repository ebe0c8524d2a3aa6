package org.cassiastack.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackNode;
import org.cassiastack.fallback.FallbackState;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.Resources;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AwaitedJobs;
import org.cassiastack.request.CallerProbe;
import org.cassiastack.request.FallbackSubmit;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.Fences;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.RunOutcome;

/** Base of tests of a fallback dispatcher with the state of the leader of term 5 and one agent. */
abstract class FallbackScenario {
  static final NodeId SELF = new NodeId("10.0.0.4/entry");
  static final NodeId PEER = new NodeId("10.0.0.5/entry");
  static final NodeId LEADER = new NodeId("10.0.0.1");
  static final NodeId MEMBER = new NodeId("10.0.0.2");
  static final NodeId ENTRY = new NodeId("10.0.0.6/entry");
  static final NodeId AGENT = new NodeId("10.0.0.7/agent");
  static final FailureDomain DOMAIN = new FailureDomain("a");
  static final ServiceName SERVICE = LeaderScenario.SERVICE;
  static final QueuedJobId ID = new QueuedJobId(0xaaL);
  static final QueueAddress ADDRESS = new QueueAddress("h", "/q/" + ID);
  static final long FENCE = Fences.ofFallback(5);
  static final Duration TICK = Duration.ofMillis(20);

  final FallbackController fallback =
      FallbackController.create(
          SELF, LeaderScenario.SETTINGS.withFallback(LeaderScenario.RESEND_DELAY));
  final List<Send> sends = new ArrayList<>();
  final List<Decision> decisions = new ArrayList<>();

  /** Decisions about jobs and runs; the others are in {@link #decisions}. */
  final List<Decision> jobDecisions = new ArrayList<>();

  final Map<RunId, Boolean> running = new HashMap<>();
  Instant now = Instant.parse("2026-12-04T08:00:00Z");
  long lastRequestId;
  long processedOrders;

  /** Whether orders reach the agent. */
  boolean processesOrders = true;

  /** Whether the agent has got orders without starts and stops, which it answers with a report. */
  private boolean isReportDue;

  /** Whether the entry confirms that the caller of its job waits. */
  boolean callerWaits = true;

  void hearLeader() {
    on(new Received(LEADER, new LeaderNotice(5, LEADER, List.of(LEADER, MEMBER))));
    hear(new FallbackState(5, 3, LeaderScenario.configuration(), List.of()));
    hear(
        new FallbackDirectory(
            5, 1, List.of(new FallbackNode(SELF, DOMAIN), new FallbackNode(PEER, DOMAIN))));
  }

  void hear(Message message) {
    on(new Received(LEADER, message));
  }

  void engage() {
    hearLeader();
    wait(Duration.ofMillis(520));
    sends.clear();
  }

  void wait(Duration time) {
    for (long i = 0; i < time.dividedBy(TICK); i++) {
      now = now.plus(TICK);
      on(new Tick());
    }
  }

  void submit(boolean durable, long version) {
    QueuedJob job =
        new QueuedJob(
            ID, "spec", List.of(StepSpec.plain(1, 1_000, 64, Duration.ofMillis(100))), durable);
    request(
        new FallbackSubmit(
            SubmitJob.of(++lastRequestId, ADDRESS, job, Duration.ofSeconds(3)), version, now));
  }

  void request(LeaderRequest request) {
    on(new Received(ENTRY, request));
  }

  void endRun(RunId run) {
    running.remove(run);
    report(FENCE, List.of(new EndedRun(1, run, RunOutcome.DONE)));
  }

  void report(long fence) {
    report(fence, List.of());
  }

  void report(long fence, List<EndedRun> ended) {
    now = now.plusMillis(1);
    MinionProfile minion =
        new MinionProfile(
            new MinionIncarnation(new MinionId("m"), 1),
            SERVICE,
            DOMAIN,
            new Resources(8_000, 8_000, 0),
            List.of(),
            false);
    List<ActiveRun> active = running.keySet().stream().map(r -> new ActiveRun(r, 10)).toList();
    on(
        new Received(
            AGENT,
            new AgentReport(
                new Incarnation(1),
                now,
                fence,
                minion,
                true,
                true,
                processedOrders,
                Duration.ZERO,
                active,
                List.of(),
                ended)));
  }

  void on(Event event) {
    List<Event> answers = new ArrayList<>();
    List<Effect> effects = new ArrayList<>(fallback.on(event, now));
    effects.addAll(fallback.endTurn(now));
    for (Effect e : effects) {
      if (e instanceof Send s) {
        sends.add(s);
        if (s.message() instanceof CallerProbe p && s.to().equals(ENTRY) && callerWaits) {
          answers.add(new Received(ENTRY, new AwaitedJobs(p.sentAt(), List.of(ID))));
        }
        if (s.message() instanceof RunOrders o && processesOrders) {
          isReportDue |= o.starts().isEmpty() && o.stops().isEmpty();
          processedOrders = o.number();
          o.starts().forEach(start -> running.put(start.run(), true));
        }
      } else if (e instanceof Decision d && d.event().startsWith("fallback_")) {
        decisions.add(d);
      } else if (e instanceof Decision d) {
        jobDecisions.add(d);
      }
    }
    answers.forEach(this::on);
    if (isReportDue) {
      isReportDue = false;
      report(FENCE);
    }
  }

  <T> List<T> sent(Class<T> type) {
    return sends.stream().map(Send::message).filter(type::isInstance).map(type::cast).toList();
  }

  List<RunId> started() {
    return sent(RunOrders.class).stream()
        .flatMap(o -> o.starts().stream())
        .map(s -> s.run())
        .toList();
  }

  List<LeaderReply> replies() {
    return sent(LeaderReply.class);
  }

  List<AnswerCode> answers() {
    return replies().stream().map(r -> r.answer().code()).toList();
  }

  static RequestAnswer answer(AnswerCode code) {
    return RequestAnswer.of(code);
  }
}
