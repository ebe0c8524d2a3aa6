package org.cassiastack.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Payload;
import org.cassiastack.protocol.Received;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.Resources;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.StoreConfiguration;

/**
 * The three kinds of jobs of the deployments under hard load, on workers of different speeds, in
 * virtual time.
 *
 * @param speeds speeds of the workers, in turn
 * @param load demand as a fraction of the capacity
 * @param rackShare share of the jobs of the shortest kind that ask for one rack
 * @param remoteFactor factor by which these run longer on another rack
 * @param tailShare share of the tasks that take seven times as long
 * @param fault what happens to one worker in ten
 */
record PlacementLoad(
    List<Double> speeds,
    double load,
    double rackShare,
    double remoteFactor,
    double tailShare,
    Fault fault) {
  private static final int WORKERS = 30;
  private static final int WORKERS_PER_RACK = 8;
  private static final int FAULT_INTERVAL = 10;
  private static final int FIRST_FAULTY_WORKER = 3;
  private static final double SLOWNESS = 5;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Duration START_UP = Duration.ofSeconds(1);
  private static final int[] SLOTS = {8, 8, 12};
  private static final Duration WARM_UP = Duration.ofSeconds(5);
  private static final Duration DURATION = Duration.ofSeconds(15);
  private static final Duration DRAIN = Duration.ofSeconds(8);

  /** Jobs a second of the three kinds, by priority; scaled to the demand. */
  private static final double[] RATES = {144, 420, 26};

  enum Fault {
    NONE,
    SLOW,
    FAILING
  }

  static PlacementLoad of(List<Double> speeds, double load) {
    return new PlacementLoad(speeds, load, 0, 1.5, 0, Fault.NONE);
  }

  PlacementLoad withRack(double share, double factor) {
    return new PlacementLoad(speeds, load, share, factor, tailShare, fault);
  }

  PlacementLoad withTail(double share) {
    return new PlacementLoad(speeds, load, rackShare, remoteFactor, share, fault);
  }

  PlacementLoad with(Fault f) {
    return new PlacementLoad(speeds, load, rackShare, remoteFactor, tailShare, f);
  }

  Result play(long seed) {
    LoadSimulation s = LoadSimulation.of(0, seed);
    List<LoadKind> kinds =
        List.of(
            kind("short", 0, 8, 86, rackShare),
            kind("middle", 1, 2, 286, 0),
            kind("long", 2, 4, 1_286, 0));
    List<FoundSlow> foundSlow = new ArrayList<>();
    s.onDecision(
        d -> {
          if (d.event().equals("worker_speed") && d.outcome().equals("slow")) {
            foundSlow.add(new FoundSlow(d.subject(), s.now()));
          }
        });
    configure(s, kinds);
    double capacity = 0;
    List<SimulatedWorker> workers = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      double speed = speeds.get(i % speeds.size());
      int slots = SLOTS[i / speeds.size() % SLOTS.length];
      workers.add(addWorker(s, slots, speed, "rack-" + i / WORKERS_PER_RACK));
      capacity += slots * speed;
    }
    s.run(START_UP);
    double demand = 0;
    for (LoadKind k : kinds) {
      demand += RATES[k.priority()] * k.meanWork();
    }
    submit(s, kinds, load * capacity / demand, WARM_UP);
    s.run(WARM_UP);
    Instant faultAt = s.now();
    for (int i = FIRST_FAULTY_WORKER; i < WORKERS && fault != Fault.NONE; i += FAULT_INTERVAL) {
      if (fault == Fault.SLOW) {
        workers.get(i).slowDown(SLOWNESS);
      } else {
        workers.get(i).failAllRuns();
      }
    }
    List<LoadKind.Counts> counts = submit(s, kinds, load * capacity / demand, DURATION);
    s.run(DURATION.plus(DRAIN));
    return new Result(counts, faultAt, List.copyOf(foundSlow));
  }

  private static List<LoadKind.Counts> submit(
      LoadSimulation s, List<LoadKind> kinds, double scale, Duration during) {
    List<LoadKind.Counts> all = new ArrayList<>();
    for (LoadKind k : kinds) {
      LoadKind.Counts counts = new LoadKind.Counts(k.objective());
      Duration mean = Duration.ofNanos((long) (NANOS_PER_SECOND / (RATES[k.priority()] * scale)));
      submitKindEvery(s, mean, k, counts, during);
      all.add(counts);
    }
    return all;
  }

  private LoadKind kind(String name, int priority, int tasks, int millis, double rack) {
    return new LoadKind(
        name, priority, tasks, Duration.ofMillis(millis), rack, remoteFactor, tailShare);
  }

  /**
   * What the callers got.
   *
   * @param counts the answers by kind, from the shortest to the longest
   * @param faultAt when the fault began
   * @param foundSlow the workers that the leader has found slow
   */
  record Result(List<LoadKind.Counts> counts, Instant faultAt, List<FoundSlow> foundSlow) {
    double onTimeShare(int kind) {
      return counts.get(kind).onTimeShare();
    }

    /** Mean over the kinds of the share on time, and a fifth of the share that is late. */
    double worth() {
      return counts.stream()
          .mapToDouble(c -> c.onTimeShare() + c.lateShare() / 5)
          .average()
          .orElse(0);
    }

    @Override
    public String toString() {
      StringBuilder text = new StringBuilder();
      for (LoadKind.Counts c : counts) {
        text.append(String.format(Locale.ROOT, "%.3f/%.3f ", c.onTimeShare(), c.lateShare()));
      }
      return text + String.format(Locale.ROOT, "worth %.3f", worth());
    }
  }

  /**
   * A worker that the leader has found slow.
   *
   * @param agent name of the worker's agent
   * @param at when the leader found it slow
   */
  record FoundSlow(String agent, Instant at) {}

  /** Submits jobs of a kind at random times with exponentially distributed intervals. */
  private static void submitKindEvery(
      LoadSimulation simulation,
      Duration mean,
      LoadKind kind,
      LoadKind.Counts counts,
      Duration during) {
    Duration interval = Duration.ofNanos((long) (-Math.log(simulation.random()) * mean.toNanos()));
    if (interval.compareTo(during) < 0) {
      simulation.runAfter(
          interval,
          () -> {
            submitKind(simulation, kind, counts);
            submitKindEvery(simulation, mean, kind, counts, during.minus(interval));
          });
    }
  }

  private static void submitKind(LoadSimulation simulation, LoadKind kind, LoadKind.Counts counts) {
    counts.submitted++;
    Random random = simulation.randomSource();
    StepSpec step = kind.step(LoadSimulation.TASK_MILLI_CPU, random);
    Instant dueAt = simulation.now().plus(kind.objective());
    String rack = step.dataRack();
    TaskWork work =
        (task, labels) -> kind.drawRunTime(random, !rack.isEmpty() && !labels.contains(rack));
    simulation.submit(
        LoadSimulation.ENTRY,
        kind.pathPrefix(),
        step,
        kind.objective(),
        work,
        (id, code) -> counts.add(code, dueAt, simulation.now()));
  }

  /** Replaces the queues by one for each kind of load. */
  private static void configure(LoadSimulation simulation, List<LoadKind> kinds) {
    List<Queue> queues = kinds.stream().map(k -> k.queue(LoadSimulation.SERVICE)).toList();
    QueueConfiguration c = new QueueConfiguration(2, queues, Payload.ofText("document"));
    simulation.on(new Received(LoadSimulation.ENTRY, new StoreConfiguration(0, c)));
  }

  private static SimulatedWorker addWorker(
      LoadSimulation simulation, int slots, double speed, String rack) {
    Resources capacity = new Resources(slots * LoadSimulation.TASK_MILLI_CPU, 8_000, 0);
    return simulation.addWorker(
        new SimulatedWorker.Kind(new FailureDomain("a"), capacity, List.of(rack), speed));
  }
}
