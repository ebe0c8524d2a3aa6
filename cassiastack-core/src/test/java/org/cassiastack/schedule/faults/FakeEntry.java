package org.cassiastack.schedule.faults;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AwaitedJobs;
import org.cassiastack.request.AwaitedSubmit;
import org.cassiastack.request.CallerProbe;
import org.cassiastack.request.FallbackSubmit;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.LeaderTracker;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.ResubmitJob;
import org.cassiastack.request.SubmitJob;
import org.jspecify.annotations.Nullable;

/** An entry of a {@link FallbackSimulation}, whose callers send jobs without an answer again. */
final class FakeEntry implements Controller {
  static final NodeId ID = new NodeId("10.0.0.6/entry");
  private static final Duration SILENCE = Duration.ofMillis(450);
  private static final Duration TIMEOUT = Duration.ofSeconds(4);
  private static final int RESEND_MILLIS = 1_300;

  private final FallbackSimulation simulation;
  private final List<NodeId> dispatchers;
  private final LeaderTracker leaders = LeaderTracker.create();
  private final Map<Long, Request> requests = new LinkedHashMap<>();
  private final Map<NodeId, Instant> probes = new HashMap<>();
  private Instant heardAt = Instant.MIN;
  private long lastId;

  FakeEntry(FallbackSimulation simulation, List<NodeId> dispatchers) {
    this.simulation = simulation;
    this.dispatchers = new ArrayList<>(dispatchers);
  }

  void submit(int tasks) {
    lastId++;
    post(new QueuedJobId(lastId), tasks, 1);
  }

  private void post(QueuedJobId id, int tasks, int attempt) {
    lastId++;
    Request r = new Request(lastId, id, tasks, attempt, simulation.now());
    requests.put(lastId, r);
    List<Effect> effects = new ArrayList<>();
    advance(r, simulation.now(), effects);
    effects.forEach(e -> simulation.send(ID, ((Send) e).to(), ((Send) e).message()));
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof Received r && r.message() instanceof LeaderNotice n) {
      leaders.onNotice(r.from(), n);
      heardAt = r.from().equals(leaders.leader()) ? now : heardAt;
    } else if (event instanceof Received r && r.message() instanceof LeaderReply reply) {
      onReply(reply, now);
    } else if (event instanceof Received r && r.message() instanceof CallerProbe p) {
      probes.put(r.from(), p.sentAt());
      List<QueuedJobId> awaited =
          requests.values().stream()
              .filter(q -> r.from().equals(q.sentTo))
              .map(q -> q.job)
              .toList();
      effects.add(new Send(r.from(), new AwaitedJobs(p.sentAt(), awaited)));
    } else if (event instanceof PeerDisconnected p) {
      leaders.onDisconnect(p.peer());
      List.copyOf(requests.values()).stream()
          .filter(r -> p.peer().equals(r.sentTo) && r.atFallback)
          .forEach(this::fail);
    } else if (event instanceof Tick) {
      for (Request r : List.copyOf(requests.values())) {
        advance(r, now, effects);
      }
    }
    return effects;
  }

  private void onReply(LeaderReply reply, Instant now) {
    Request r = requests.get(reply.requestId());
    if (r == null) {
      return;
    }
    AnswerCode code = reply.answer().code();
    if (code == AnswerCode.HANDED_OVER) {
      r.mayHaveRun = true;
      r.sentTo = null;
      r.atFallback = false;
      r.waitsSince = now;
    } else if (code == AnswerCode.NOT_LEADER) {
      r.sentTo = r.mayHaveRun && !r.atFallback ? r.sentTo : null;
      r.atFallback = false;
    } else {
      requests.remove(reply.requestId());
      simulation.answered(reply);
    }
  }

  private void advance(Request r, Instant now, List<Effect> effects) {
    NodeId leader = leaders.leader();
    boolean heard = leader != null && now.isBefore(heardAt.plus(SILENCE));
    if (now.isAfter(r.postedAt.plus(TIMEOUT))) {
      requests.remove(r.id);
      return;
    }
    if (r.atFallback) {
      return;
    }
    if (heard) {
      boolean isNew = !leader.equals(r.sentTo) || leaders.term() != r.sentInTerm;
      r.waitsSince = now;
      if (isNew) {
        SubmitJob s = r.submission(now);
        Instant probe = probes.get(leader);
        LeaderRequest first = probe == null ? s : new AwaitedSubmit(s, probe);
        effects.add(new Send(leader, r.mayHaveRun ? new ResubmitJob(s, probe) : first));
        r.sentTo = leader;
        r.sentInTerm = leaders.term();
        r.mayHaveRun = true;
      }
    } else if (r.mayHaveRun) {
      if (now.isAfter(r.waitsSince.plus(FallbackSimulation.SETTINGS.leaseExpiryTimeout()))) {
        fail(r);
      }
    } else {
      NodeId d = dispatchers.get((int) (r.tries++ / 3 % dispatchers.size()));
      effects.add(new Send(d, new FallbackSubmit(r.submission(now), 1, probes.get(d))));
      r.sentTo = d;
      r.atFallback = true;
    }
  }

  /** Answers that the outcome is unknown; the caller sends the job again after some time. */
  private void fail(Request r) {
    requests.remove(r.id);
    if (r.attempt < 3) {
      simulation.runAfter(RESEND_MILLIS, () -> post(r.job, r.tasks, r.attempt + 1));
    }
  }

  private static final class Request {
    final long id;
    final QueuedJobId job;
    final int tasks;
    final int attempt;
    final Instant postedAt;
    Instant waitsSince;
    @Nullable NodeId sentTo;
    long sentInTerm;
    boolean atFallback;
    boolean mayHaveRun;
    long tries;

    Request(long id, QueuedJobId job, int tasks, int attempt, Instant postedAt) {
      this.id = id;
      this.job = job;
      this.tasks = tasks;
      this.attempt = attempt;
      this.postedAt = postedAt;
      this.waitsSince = postedAt;
    }

    SubmitJob submission(Instant now) {
      StepSpec step =
          StepSpec.plain(tasks, FallbackSimulation.TASK_MILLI_CPU, 64, Duration.ofMillis(600));
      QueuedJob q = new QueuedJob(job, "spec", List.of(step), false);
      QueueAddress address = new QueueAddress("h", "/q/" + job);
      return SubmitJob.of(id, address, q, TIMEOUT)
          .withAdditionalWait(Duration.between(postedAt, now));
    }
  }
}
