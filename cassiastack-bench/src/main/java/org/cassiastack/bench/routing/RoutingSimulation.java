package org.cassiastack.bench.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.guard.StartGuard;
import org.cassiastack.guard.StartTask;
import org.cassiastack.guard.TaskStopped;
import org.cassiastack.job.AnswerCaller;
import org.cassiastack.job.CallerRequestId;
import org.cassiastack.job.CoordinatorsChanged;
import org.cassiastack.job.JobCoordinator;
import org.cassiastack.job.JobSubmitted;
import org.cassiastack.membership.AvailableMinion;
import org.cassiastack.membership.MinionsChanged;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Job;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.routing.MinionPicker;

/**
 * One run of coordinators and start guards in virtual time against minions that are only a delay.
 *
 * <pre>{@code
 * Outcome outcome = Trial.run(scenario, random -> MinionPickers.random(random));
 * }</pre>
 */
final class RoutingSimulation {
  private static final Instant START = Instant.parse("2026-12-04T00:00:00Z");
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration ONE_WAY = Duration.ofNanos(500_000);
  private static final Duration FAILS_AFTER = Duration.ofMillis(5);
  private static final Duration RETENTION = Duration.ofMinutes(10);
  private static final int GUARD_CAPACITY = 1_000_000;

  private final Scenario scenario;
  private final SimulationResult outcome;
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private final List<NodeId> coordinators = new ArrayList<>();
  private final Map<NodeId, Controller> nodes = new HashMap<>();
  private final Map<CallerRequestId, Instant> submitted = new HashMap<>();
  private final Map<CallerRequestId, Job> jobs = new HashMap<>();
  private Instant now = START;
  private long serial;

  private RoutingSimulation(Scenario scenario, PickerFactory pickers) {
    this.scenario = scenario;
    this.outcome = new SimulationResult(scenario);
    RandomGenerator random = new SplittableRandom(scenario.seed());
    for (int i = 0; i < scenario.coordinators(); i++) {
      NodeId id = new NodeId("coordinator-" + i);
      MinionPicker picker = pickers.create(new SplittableRandom(scenario.seed() + i));
      coordinators.add(id);
      nodes.put(id, JobCoordinator.create(new Epoch(1), picker, RETENTION));
    }
    Map<NodeId, Incarnation> agents = new HashMap<>();
    for (AvailableMinion m : scenario.minions()) {
      agents.put(m.agent(), m.incarnation());
      nodes.put(
          m.agent(),
          StartGuard.create(m.incarnation(), List.of(m.minion()), RETENTION, GUARD_CAPACITY));
      at(START, m.agent(), new StartsAllowed(Instant.MAX, scenario.configuration(true)));
    }
    for (NodeId c : coordinators) {
      at(START, c, new ConfigurationChanged(scenario.configuration(true)));
      at(START, c, new CoordinatorsChanged(scenario.coordinators()));
      at(START, c, new MinionsChanged(scenario.minions(), agents));
      for (Duration t = TICK; t.compareTo(scenario.runLength()) < 0; t = t.plus(TICK)) {
        at(START.plus(t), c, new Tick());
      }
    }
    domainChanges();
    arrivals(random);
  }

  /** Makes the picker of one coordinator. */
  @FunctionalInterface
  interface PickerFactory {
    MinionPicker create(RandomGenerator random);
  }

  /** Runs a scenario to its end. */
  static SimulationResult run(Scenario scenario, PickerFactory pickers) {
    RoutingSimulation trial = new RoutingSimulation(scenario, pickers);
    Instant end = START.plus(scenario.runLength());
    for (Step s = trial.steps.poll(); s != null && s.at.isBefore(end); s = trial.steps.poll()) {
      trial.now = s.at;
      trial.take(s);
    }
    return trial.outcome;
  }

  private void domainChanges() {
    if (scenario.domainOutOfService()) {
      changeDomain(START.plus(scenario.arrivalPeriod().dividedBy(3)), false);
      changeDomain(START.plus(scenario.arrivalPeriod().multipliedBy(2).dividedBy(3)), true);
    }
  }

  private void changeDomain(Instant at, boolean in) {
    Configuration changed = scenario.configuration(in);
    coordinators.forEach(c -> at(at, c, new ConfigurationChanged(changed)));
    scenario.minions().forEach(m -> at(at, m.agent(), new StartsAllowed(Instant.MAX, changed)));
  }

  private void arrivals(RandomGenerator random) {
    double seconds = 0;
    long caller = 0;
    while (seconds < scenario.arrivalPeriod().toSeconds()) {
      seconds += -Math.log(1 - random.nextDouble()) / scenario.jobsPerSecond();
      Instant at = START.plusNanos((long) (seconds * 1e9));
      Job job = scenario.drawJob(at, caller, random);
      NodeId to = coordinators.get(random.nextInt(coordinators.size()));
      CallerRequestId id = new CallerRequestId(caller++);
      jobs.put(id, job);
      submitted.put(id, at);
      at(at, to, new JobSubmitted(id, job));
    }
  }

  private void at(Instant at, NodeId to, Event event) {
    steps.add(new Step(at, serial++, to, event));
  }

  private void take(Step s) {
    Controller node = nodes.get(s.to);
    if (node == null) {
      throw new IllegalStateException("No node " + s.to);
    }
    for (Effect e : node.on(s.event, now)) {
      if (e instanceof Send send) {
        outcome.recordMessage(send.message());
        at(now.plus(ONE_WAY), send.to(), new Received(s.to, send.message()));
      } else if (e instanceof StartTask start) {
        outcome.recordStart();
        startTask(s.to, start.dispatch());
      } else if (e instanceof AnswerCaller a) {
        Job job = jobs.remove(a.caller());
        Instant from = submitted.remove(a.caller());
        if (job != null && from != null) {
          boolean inWindow = now.isBefore(START.plus(scenario.arrivalPeriod()));
          outcome.recordAnswer(job, a.answer(), Duration.between(from, now), inWindow);
        }
      }
    }
  }

  private void startTask(NodeId agent, Dispatch d) {
    boolean fails = scenario.fails(agent);
    Duration runs = fails ? FAILS_AFTER : scenario.runTime(agent, d.payload());
    ResultCode code = fails ? ResultCode.TASK_FAILED : ResultCode.COMPLETE;
    at(now.plus(runs), agent, new TaskStopped(d.task(), code, Payload.EMPTY));
  }

  private record Step(Instant at, long serial, NodeId to, Event event) implements Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      int order = at.compareTo(other.at);
      return order == 0 ? Long.compare(serial, other.serial) : order;
    }
  }
}
