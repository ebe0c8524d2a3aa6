package org.cassiastack.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cassiastack.decision.Decision;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AnswerCode;

/**
 * Plays a {@link HardLoad} in virtual time: random arrivals, run times and estimates, bursts of one
 * kind, and losses.
 */
final class HardLoadPlay {
  private static final double SPREAD = 0.4;
  private static final double MAX_RUN_TIME_FACTOR = 4;
  private static final double HEAVY_TAIL_FACTOR = 7;
  private static final double SWING_SECONDS = 8;
  private static final int MAX_USEFUL_OBJECTIVES = 3;
  private static final Duration INTERVAL = Duration.ofMillis(1);
  private static final Duration WARM_UP = Duration.ofSeconds(4);
  private static final Duration DRAIN = Duration.ofSeconds(8);

  private final HardLoad load;
  private final LoadSimulation simulation;
  private final Random random;
  private final List<Burst> bursts = new ArrayList<>();
  private final Set<QueuedJobId> refused = new HashSet<>();
  private final Map<String, Integer> decisions = new HashMap<>();
  private HardLoadTally tally;

  private HardLoadPlay(HardLoad load, ScheduleSettings settings, long seed) {
    this.load = load;
    this.random = new Random(seed);
    this.tally = HardLoadTally.create(load);
    this.simulation =
        LoadSimulation.of(settings, load.entries(), load.workers(), load.configuration(), seed);
    simulation.onDecision(this::count);
  }

  /** Starts the load and lets the leader learn the speeds of the workers. */
  static HardLoadPlay start(HardLoad load, ScheduleSettings settings, long seed) {
    HardLoadPlay play = new HardLoadPlay(load, settings, seed);
    play.submitAtIntervals();
    play.simulation.run(WARM_UP);
    play.tally = HardLoadTally.create(load);
    return play;
  }

  static ScheduleSettings settings(HardLoad load) {
    return new ScheduleSettings(
        Duration.ofSeconds(1), Duration.ofMillis(150), Duration.ofMinutes(2), load.remoteFactor());
  }

  /** Multiplies the rate of one kind for a time that begins after a delay. */
  HardLoadPlay burst(int kind, double factor, Duration after, Duration time) {
    Instant from = simulation.now().plus(after);
    bursts.add(new Burst(kind, factor, from, from.plus(time)));
    return this;
  }

  /** Cuts a quarter of the workers off. */
  HardLoadPlay cutOffQuarter(Duration after, Duration time) {
    simulation.runAfter(
        after,
        () -> {
          for (int i = 0; i < load.workerCount() / 4; i++) {
            simulation.cutOff(i, time);
          }
        });
    return this;
  }

  /** Pauses the leader. */
  HardLoadPlay pauseLeader(Duration after, Duration time) {
    simulation.runAfter(after, () -> simulation.pauseLeader(time));
    return this;
  }

  /** Plays for a time, and returns what became of the jobs that were submitted in it. */
  HardLoadTally play(Duration time) {
    simulation.run(time);
    HardLoadTally result = tally;
    tally = HardLoadTally.create(load);
    simulation.run(DRAIN);
    return result;
  }

  LoadSimulation simulation() {
    return simulation;
  }

  Set<QueuedJobId> refused() {
    return refused;
  }

  /** Returns the numbers of decisions, by event and outcome. */
  Map<String, Integer> decisions() {
    return decisions;
  }

  private void count(Decision d) {
    if (d.event().equals("job_refused")) {
      decisions.merge(d.event() + "=" + d.outcome(), 1, Integer::sum);
    }
  }

  private void submitAtIntervals() {
    for (int k = 0; k < load.kinds().size(); k++) {
      for (int d = 0; d < load.domains(); d++) {
        double perSecond = load.kinds().get(k).perSecond() / load.domains() * factor(k, d);
        if (random.nextDouble() < perSecond * INTERVAL.toNanos() / 1e9) {
          submit(k, d);
        }
      }
    }
    simulation.runAfter(INTERVAL, this::submitAtIntervals);
  }

  private double factor(int kind, int domain) {
    Instant now = simulation.now();
    double seconds = now.toEpochMilli() / 1e3;
    double phase = 2 * Math.PI * (seconds / SWING_SECONDS + (double) domain / load.domains());
    double factor = 1 + load.swing() * Math.sin(phase);
    for (Burst b : bursts) {
      boolean active = !now.isBefore(b.from) && now.isBefore(b.until);
      factor *= active && b.kind == kind ? b.factor : 1;
    }
    return factor;
  }

  private void submit(int kind, int domain) {
    HardLoad.Kind k = load.kinds().get(kind);
    int tasks = (int) Math.max(1, Math.round(k.tasks() * spread()));
    List<Duration> works = new ArrayList<>();
    double planned = 0;
    double longest = 0;
    for (int i = 0; i < tasks; i++) {
      double nanos = k.runTime().toNanos() * Math.min(MAX_RUN_TIME_FACTOR, spread());
      boolean heavy = random.nextDouble() < load.heavyTail();
      works.add(Duration.ofNanos((long) (heavy ? HEAVY_TAIL_FACTOR * nanos : nanos)));
      longest = Math.max(longest, nanos);
      planned += nanos;
    }
    Duration estimate = Duration.ofNanos((long) (planned / tasks * spread()));
    boolean ofRack = kind == 0 && random.nextDouble() < load.rackShare();
    String rack = ofRack ? "rack" + random.nextInt(load.racks()) : "";
    StepSpec step = new StepSpec(tasks, load.milliCpu(), 64, 0, estimate, List.of(), "", rack, 0);
    Duration objective =
        Duration.ofNanos((long) (longest * HardLoad.STRETCH)).plus(HardLoad.TARGET_LATENCY);
    double size = planned / (k.tasks() * k.runTime().toNanos());
    Instant start = simulation.now();
    HardLoadTally current = tally;
    HardLoadTally.Entry entry = current.add(kind, domain, size);
    simulation.submit(
        load.entries().get(domain),
        "/kind" + kind + "/",
        step,
        objective,
        (task, labels) -> work(works.get(task), rack, labels),
        (id, code) -> {
          Duration taken = Duration.between(start, simulation.now());
          if (code == AnswerCode.OVERLOADED) {
            refused.add(id);
          }
          entry.end(outcome(code, taken, objective), taken);
        });
  }

  private Duration work(Duration local, String rack, List<String> labels) {
    boolean remote = !rack.isEmpty() && !labels.contains(rack);
    return remote ? Duration.ofNanos((long) (local.toNanos() * load.remoteFactor())) : local;
  }

  private static HardLoadTally.Outcome outcome(
      AnswerCode code, Duration taken, Duration objective) {
    if (code == AnswerCode.OVERLOADED) {
      return HardLoadTally.Outcome.REFUSED;
    }
    if (code != AnswerCode.ACCEPTED) {
      return HardLoadTally.Outcome.HELD;
    }
    if (taken.compareTo(objective) <= 0) {
      return HardLoadTally.Outcome.ON_TIME;
    }
    return taken.compareTo(objective.multipliedBy(MAX_USEFUL_OBJECTIVES)) <= 0
        ? HardLoadTally.Outcome.LATE
        : HardLoadTally.Outcome.USELESS;
  }

  /** Returns a factor with log-normal distribution and mean 1. */
  private double spread() {
    return Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
  }

  private record Burst(int kind, double factor, Instant from, Instant until) {}
}
