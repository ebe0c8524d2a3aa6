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
 * Runs real coordinators and start guards in virtual time. The minions are simulated: a task ends
 * after the run time that the scenario determines, and a task on a failing minion fails after a
 * short fixed time.
 *
 * <pre>{@code
 * SimulationResult result = RoutingSimulation.run(scenario, MinionPickers::random);
 * }</pre>
 */
final class RoutingSimulation {
  private static final Instant START = Instant.parse("2026-12-04T00:00:00Z");
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration NETWORK_DELAY = Duration.ofNanos(500_000);
  private static final Duration FAILED_TASK_RUN_TIME = Duration.ofMillis(5);
  private static final Duration RETENTION = Duration.ofMinutes(10);
  private static final int GUARD_CAPACITY = 1_000_000;

  private final Scenario scenario;
  private final SimulationResult result;
  private final PriorityQueue<ScheduledEvent> pendingEvents = new PriorityQueue<>();
  private final List<NodeId> coordinators = new ArrayList<>();
  private final Map<NodeId, Controller> nodes = new HashMap<>();
  private final Map<CallerRequestId, Instant> submittedAt = new HashMap<>();
  private final Map<CallerRequestId, Job> jobs = new HashMap<>();
  private Instant now = START;
  private long nextSequence;

  private RoutingSimulation(Scenario scenario, PickerFactory pickerFactory) {
    this.scenario = scenario;
    this.result = new SimulationResult(scenario);
    RandomGenerator random = new SplittableRandom(scenario.seed());
    for (int i = 0; i < scenario.coordinators(); i++) {
      NodeId id = new NodeId("coordinator-" + i);
      MinionPicker picker = pickerFactory.create(new SplittableRandom(scenario.seed() + i));
      coordinators.add(id);
      nodes.put(id, JobCoordinator.create(new Epoch(1), picker, RETENTION));
    }
    Map<NodeId, Incarnation> agents = new HashMap<>();
    for (AvailableMinion minion : scenario.minions()) {
      agents.put(minion.agent(), minion.incarnation());
      nodes.put(
          minion.agent(),
          StartGuard.create(
              minion.incarnation(), List.of(minion.minion()), RETENTION, GUARD_CAPACITY));
      schedule(START, minion.agent(), new StartsAllowed(Instant.MAX, scenario.configuration(true)));
    }
    for (NodeId coordinator : coordinators) {
      schedule(START, coordinator, new ConfigurationChanged(scenario.configuration(true)));
      schedule(START, coordinator, new CoordinatorsChanged(scenario.coordinators()));
      schedule(START, coordinator, new MinionsChanged(scenario.minions(), agents));
      for (Duration time = TICK_INTERVAL;
          time.compareTo(scenario.runLength()) < 0;
          time = time.plus(TICK_INTERVAL)) {
        schedule(START.plus(time), coordinator, new Tick());
      }
    }
    scheduleDomainOutage();
    scheduleArrivals(random);
  }

  /** Creates the picker of one coordinator. */
  @FunctionalInterface
  interface PickerFactory {
    MinionPicker create(RandomGenerator random);
  }

  /** Runs a scenario for its {@linkplain Scenario#runLength run length} and returns the result. */
  static SimulationResult run(Scenario scenario, PickerFactory pickerFactory) {
    RoutingSimulation simulation = new RoutingSimulation(scenario, pickerFactory);
    Instant end = START.plus(scenario.runLength());
    for (ScheduledEvent event = simulation.pendingEvents.poll();
        event != null && event.at.isBefore(end);
        event = simulation.pendingEvents.poll()) {
      simulation.now = event.at;
      simulation.deliver(event);
    }
    return simulation.result;
  }

  private void scheduleDomainOutage() {
    if (scenario.domainOutOfService()) {
      scheduleDomainChange(START.plus(scenario.arrivalPeriod().dividedBy(3)), false);
      scheduleDomainChange(START.plus(scenario.arrivalPeriod().multipliedBy(2).dividedBy(3)), true);
    }
  }

  private void scheduleDomainChange(Instant changeTime, boolean firstInService) {
    Configuration changed = scenario.configuration(firstInService);
    coordinators.forEach(
        coordinator -> schedule(changeTime, coordinator, new ConfigurationChanged(changed)));
    scenario
        .minions()
        .forEach(
            minion ->
                schedule(changeTime, minion.agent(), new StartsAllowed(Instant.MAX, changed)));
  }

  private void scheduleArrivals(RandomGenerator random) {
    double seconds = 0;
    long callerNumber = 0;
    while (seconds < scenario.arrivalPeriod().toSeconds()) {
      seconds += -Math.log(1 - random.nextDouble()) / scenario.jobsPerSecond();
      Instant arrival = START.plusNanos((long) (seconds * 1e9));
      Job job = scenario.drawJob(arrival, callerNumber, random);
      NodeId coordinator = coordinators.get(random.nextInt(coordinators.size()));
      CallerRequestId id = new CallerRequestId(callerNumber++);
      jobs.put(id, job);
      submittedAt.put(id, arrival);
      schedule(arrival, coordinator, new JobSubmitted(id, job));
    }
  }

  private void schedule(Instant time, NodeId receiver, Event event) {
    pendingEvents.add(new ScheduledEvent(time, nextSequence++, receiver, event));
  }

  private void deliver(ScheduledEvent scheduled) {
    Controller node = nodes.get(scheduled.receiver);
    if (node == null) {
      throw new IllegalStateException("event for an unknown node: " + scheduled.receiver);
    }
    for (Effect effect : node.on(scheduled.event, now)) {
      if (effect instanceof Send send) {
        result.recordMessage(send.message());
        schedule(
            now.plus(NETWORK_DELAY), send.to(), new Received(scheduled.receiver, send.message()));
      } else if (effect instanceof StartTask start) {
        result.recordStart();
        startTask(scheduled.receiver, start.dispatch());
      } else if (effect instanceof AnswerCaller answer) {
        Job job = jobs.remove(answer.requestId());
        Instant submission = submittedAt.remove(answer.requestId());
        if (job != null && submission != null) {
          boolean inArrivalPeriod = now.isBefore(START.plus(scenario.arrivalPeriod()));
          result.recordAnswer(
              job, answer.answer(), Duration.between(submission, now), inArrivalPeriod);
        }
      }
    }
  }

  private void startTask(NodeId agent, Dispatch dispatch) {
    boolean fails = scenario.fails(agent);
    Duration runTime = fails ? FAILED_TASK_RUN_TIME : scenario.runTime(agent, dispatch.payload());
    ResultCode code = fails ? ResultCode.TASK_FAILED : ResultCode.COMPLETE;
    schedule(now.plus(runTime), agent, new TaskStopped(dispatch.task(), code, Payload.EMPTY));
  }

  private record ScheduledEvent(Instant at, long sequence, NodeId receiver, Event event)
      implements Comparable<ScheduledEvent> {
    @Override
    public int compareTo(ScheduledEvent other) {
      int order = at.compareTo(other.at);
      return order == 0 ? Long.compare(sequence, other.sequence) : order;
    }
  }
}
