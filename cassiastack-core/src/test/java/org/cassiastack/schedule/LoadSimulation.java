package org.cassiastack.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cassiastack.consensus.CommandCommitted;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.controller.VirtualScheduler;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.InMemoryLedgerCodec;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.DeskCall;
import org.cassiastack.request.DeskCode;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.LeaderRequestController;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswered;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;

/**
 * Callers, one entry, one leader and some workers in virtual time, to see what callers get under a
 * load. The leader handles events at no cost, or one after the other at a {@link LeaderCost}.
 */
final class LoadSimulation {
  static final ServiceName SERVICE = new ServiceName("ice");
  static final long TASK_MILLI_CPU = 3_000;
  private static final NodeId SELF = new NodeId("10.0.0.1");
  private static final NodeId ENTRY = new NodeId("10.0.0.1/entry");
  private static final Pattern OBJECTIVE = Pattern.compile("objective=(\\S+)");
  private static final int USUAL_ROOM = 6;
  private static final Duration HOP = Duration.ofMillis(1);
  private static final Duration TICK = Duration.ofMillis(20);
  private static final Duration OBJECTIVE_SLACK = Duration.ofMillis(60);
  private static final Duration PATIENCE_SLACK = Duration.ofMillis(1_500);
  private static final double STRETCH = 1.6;
  private static final ScheduleSettings SETTINGS =
      new ScheduleSettings(Duration.ofSeconds(1), Duration.ofMillis(150), Duration.ofMinutes(2));

  private final VirtualScheduler schedule =
      new VirtualScheduler(Instant.parse("2026-12-04T08:00:00Z"));
  private final LeaderController leader =
      LeaderController.create(SELF, SETTINGS, new InMemoryLedgerCodec(), UUID::randomUUID);
  private final LeaderRequestController desk = LeaderRequestController.create();
  private final Queue<Event> inbox = new ArrayDeque<>();
  private final LeaderCost speed;
  private final Map<NodeId, SimulatedWorker> workers = new LinkedHashMap<>();
  private final Map<Long, Submission> submissions = new HashMap<>();
  private final Map<QueuedJobId, Duration> works = new HashMap<>();
  private final Random random;
  private long index;
  private long calls;
  private int jobs;
  private int onTime;
  private int unansweredUnstartedJobs;
  private Duration lastObjective = Duration.ZERO;
  private final Set<QueuedJobId> begun = new HashSet<>();
  private final Map<DeskCode, Integer> answers = new EnumMap<>(DeskCode.class);

  private boolean busy;
  private Instant heldUpUntil = Instant.MIN;
  private long candidates;

  private LoadSimulation(LeaderCost speed, long seed) {
    this.speed = speed;
    this.random = new Random(seed);
  }

  /** Starts a leader and workers of the speed 1 with room for six tasks each. */
  static LoadSimulation of(int workers, long seed) {
    return of(workers, USUAL_ROOM, LeaderCost.ZERO, seed);
  }

  /** Starts a leader of some speed, and workers with room for so many tasks each. */
  static LoadSimulation of(int workers, int room, LeaderCost speed, long seed) {
    LoadSimulation play = new LoadSimulation(speed, seed);
    play.on(new LeaderChanged(1, SELF, true));
    play.atDesk(new Received(SELF, new LeaderNotice(1, SELF, List.of(SELF))));
    for (int i = 0; i < workers; i++) {
      NodeId node = new NodeId("10.0.1." + i + "/agent");
      play.workers.put(node, new SimulatedWorker(play, node, room));
    }
    play.tick();
    play.on(new Received(ENTRY, new StoreConfiguration(0, configuration())));
    play.run(Duration.ofSeconds(1));
    return play;
  }

  /** Lets callers submit jobs at random times with a mean interval. */
  void submitEvery(Duration mean, int tasks, Duration work, Duration during) {
    Duration gap = Duration.ofNanos((long) (-Math.log(random.nextDouble()) * mean.toNanos()));
    if (gap.compareTo(during) < 0) {
      schedule.runAfter(
          gap,
          () -> {
            submit(tasks, work);
            submitEvery(mean, tasks, work, during.minus(gap));
          });
    }
  }

  /** Makes one worker this many times slower from now on, or faster; its running tasks as well. */
  void slowDown(int worker, double times) {
    List.copyOf(workers.values()).get(worker).slowDown(times);
  }

  void run(Duration time) {
    schedule.runFor(time);
  }

  /** Returns the share of the jobs that were answered within their objective. */
  double onTimeShare() {
    return (double) onTime / jobs;
  }

  /** Returns how many jobs were answered with a code. */
  int answers(DeskCode code) {
    return answers.getOrDefault(code, 0);
  }

  /** Returns the objective that the leader has found for the job that it admitted last. */
  Duration lastObjective() {
    return lastObjective;
  }

  /** Returns how many callers got no answer although their jobs never ran. */
  int unansweredUnstartedJobs() {
    return unansweredUnstartedJobs;
  }

  /** Forgets what callers got so far. */
  void resetCounts() {
    jobs = 0;
    onTime = 0;
    unansweredUnstartedJobs = 0;
    answers.clear();
  }

  Instant now() {
    return schedule.now();
  }

  void after(Duration delay, Runnable action) {
    schedule.runAfter(delay, action);
  }

  Duration runTimeOf(RunId run) {
    return works.get(run.task().job());
  }

  double random() {
    return random.nextDouble();
  }

  /** Hands an event to the leader, behind those that it has not handled yet. */
  void on(Event event) {
    inbox.add(event);
    if (!busy) {
      handleNext();
    }
  }

  /** Holds up the leader's thread, as a freeze of its machine does. */
  void pauseLeader(Duration time) {
    heldUpUntil = now().plus(time);
    if (!busy) {
      handleNext();
    }
  }

  private void handleNext() {
    busy = now().isBefore(heldUpUntil);
    if (busy) {
      after(Duration.between(now(), heldUpUntil), this::handleNext);
      return;
    }
    for (Event e = inbox.poll(); e != null; e = inbox.poll()) {
      candidates = 0;
      handle(e);
      Duration cost = speed.cost(candidates);
      if (!cost.isZero()) {
        busy = true;
        after(cost, this::handleNext);
        return;
      }
    }
  }

  /** Lets the leader handle an event, and commits at once what it proposes. */
  private void handle(Event first) {
    Queue<Event> events = new ArrayDeque<>(List.of(first));
    for (Event e = events.poll(); e != null; e = events.poll()) {
      for (Effect f : leader.on(e, now())) {
        if (f instanceof Raise r && r.event() instanceof ProposeCommand p) {
          events.add(new CommandCommitted(++index, p.proposalId(), p.command()));
        } else if (f instanceof Send s && s.message() instanceof RunOrders o) {
          SimulatedWorker w = workers.get(s.to());
          o.starts().forEach(x -> begun.add(x.run().task().job()));
          after(HOP, () -> w.receive(o));
        } else if (f instanceof Send s && s.message() instanceof LeaderReply r) {
          after(HOP, () -> atDesk(new Received(SELF, r)));
        } else if (f instanceof Decision d && d.event().equals("job_admitted")) {
          Matcher m = OBJECTIVE.matcher(d.inputs());
          lastObjective = m.find() ? Duration.parse(m.group(1)) : Duration.ZERO;
        } else if (f instanceof PlacementStats w) {
          candidates += w.candidatesExamined();
        }
      }
    }
  }

  private void atDesk(Event event) {
    for (Effect f : desk.on(event, now())) {
      if (f instanceof Send s) {
        after(HOP, () -> on(new Received(ENTRY, s.message())));
      } else if (f instanceof RequestAnswered a) {
        answered(a);
      }
    }
  }

  private void submit(int tasks, Duration work) {
    calls++;
    jobs++;
    QueuedJobId id = new QueuedJobId(calls);
    QueueAddress address = new QueueAddress("h", "/q/" + id);
    List<StepSpec> steps =
        new ArrayList<>(List.of(StepSpec.plain(tasks, TASK_MILLI_CPU, 64, work)));
    Duration objective = Duration.ofNanos((long) (work.toNanos() * STRETCH)).plus(OBJECTIVE_SLACK);
    submissions.put(calls, new Submission(id, now().plus(objective)));
    works.put(id, work);
    QueuedJob job = new QueuedJob(id, "spec", steps, false);
    Duration patience = objective.plus(PATIENCE_SLACK);
    SubmitJob submit = SubmitJob.of(calls, address, job, patience);
    atDesk(new DeskCall(submit, now().plus(patience)));
  }

  private void answered(RequestAnswered a) {
    Submission s = submissions.remove(a.requestId());
    if (s != null) {
      answers.merge(a.answer().code(), 1, Integer::sum);
      boolean inVain = a.answer().code() == DeskCode.UNANSWERED && !begun.contains(s.job);
      unansweredUnstartedJobs += inVain ? 1 : 0;
      onTime += a.answer().code() == DeskCode.ACCEPTED && !now().isAfter(s.dueAt) ? 1 : 0;
    }
  }

  private void tick() {
    on(new LeaseExtended(1, now().plusSeconds(1)));
    on(new Tick());
    atDesk(new Tick());
    schedule.runAfter(TICK, this::tick);
  }

  private static QueueConfiguration configuration() {
    org.cassiastack.queue.Queue q =
        new org.cassiastack.queue.Queue("q", "h", "/q/", SERVICE, 0, 2, STRETCH, OBJECTIVE_SLACK);
    return new QueueConfiguration(1, List.of(q), Payload.ofText("document"));
  }

  private record Submission(QueuedJobId job, Instant dueAt) {}

  /**
   * What the leader's thread takes for an event.
   *
   * @param perEvent time for each event
   * @param perCandidate time for each worker that was looked at to place tasks
   */
  record LeaderCost(Duration perEvent, Duration perCandidate) {
    static final LeaderCost ZERO = new LeaderCost(Duration.ZERO, Duration.ZERO);

    Duration cost(long candidates) {
      return perEvent.plus(perCandidate.multipliedBy(candidates));
    }
  }
}
