package org.cassiastack.schedule.faults;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackNode;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.Resources;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderTracker;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.Fences;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.RunOutcome;
import org.cassiastack.runs.StartOrder;
import org.jspecify.annotations.Nullable;

/**
 * An agent of a {@link FallbackSimulation} with its minion, by the rules for agents: it obeys the
 * holder that it has chosen, stops the runs of the former holder before it obeys a fallback
 * dispatcher, and returns to a leader with its runs.
 */
final class FakeAgent implements Controller {
  private static final Duration SILENCE = Duration.ofMillis(450);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);
  private static final int STOP_MILLIS = 50;

  final NodeId id;
  private final FallbackSimulation simulation;
  private final MinionProfile minion;
  private final LeaderTracker leaders = LeaderTracker.create();
  private final Map<RunId, Boolean> running = new LinkedHashMap<>();
  private final List<EndedRun> ended = new ArrayList<>();
  private List<NodeId> dispatchers = List.of();
  private int dispatcher;
  private @Nullable NodeId target;
  private @Nullable NodeId holder;
  private long fence;
  private long processedOrders;
  private long lastEnd;
  private Instant leaseUntil = Instant.MIN;
  private Instant leasedAt = Instant.MIN;
  private Instant heardAt = Instant.MIN;
  private Instant targetSince = Instant.MIN;
  private Instant nextReportAt = Instant.MIN;

  FakeAgent(FallbackSimulation simulation, NodeId id) {
    this.simulation = simulation;
    this.id = id;
    this.minion =
        new MinionProfile(
            new MinionIncarnation(new MinionId("minion of " + id), 1),
            FallbackSimulation.SERVICE,
            FallbackSimulation.DOMAIN,
            new Resources(FallbackSimulation.CAPACITY_MILLI_CPU, 8_000, 0),
            List.of(),
            false);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof Tick) {
      expireLease(now);
      chooseTarget(now);
      if (!now.isBefore(nextReportAt)) {
        report(now, effects);
      }
    } else if (event instanceof Received r && r.message() instanceof LeaderNotice n) {
      leaders.onNotice(r.from(), n);
      if (r.from().equals(leaders.leader())) {
        heardAt = now;
        aimAt(r.from(), now);
      }
    } else if (event instanceof Received r && r.message() instanceof FallbackDirectory d) {
      dispatchers = d.nodes().stream().map(FallbackNode::node).toList();
    } else if (event instanceof Received r && r.message() instanceof AgentLease l) {
      onLease(r.from(), l, now);
    } else if (event instanceof Received r && r.message() instanceof RunOrders o) {
      onOrders(r.from(), o, now, effects);
    }
    return effects;
  }

  private void chooseTarget(Instant now) {
    boolean leaderSilent = now.isAfter(heardAt.plus(SILENCE));
    boolean targetSilent =
        now.isAfter(leasedAt.plus(SILENCE)) && now.isAfter(targetSince.plus(SILENCE));
    if (leaderSilent && targetSilent && !dispatchers.isEmpty()) {
      aimAt(dispatchers.get(dispatcher++ % dispatchers.size()), now);
      targetSince = now;
    }
  }

  private void aimAt(NodeId next, Instant now) {
    if (!next.equals(target)) {
      target = next;
      targetSince = now;
      nextReportAt = now;
    }
  }

  private void onLease(NodeId from, AgentLease l, Instant now) {
    Instant until = l.reportSentAt().plus(l.duration());
    if (!from.equals(target) || l.fence() < fence) {
      return;
    }
    if (!from.equals(holder) || l.fence() > fence) {
      if (Fences.isFallback(l.fence())) {
        List.copyOf(running.keySet()).forEach(this::stop);
      }
      holder = from;
      fence = l.fence();
      processedOrders = 0;
      nextReportAt = now;
    }
    leaseUntil = until.isAfter(leaseUntil) ? until : leaseUntil;
    leasedAt = now;
    if (l.minionIncarnation() != null) {
      ended.removeIf(e -> e.sequence() <= l.acknowledgedThrough());
    }
  }

  private void onOrders(NodeId from, RunOrders o, Instant now, List<Effect> effects) {
    if (!from.equals(holder)
        || !from.equals(target)
        || o.fence() != fence
        || o.number() <= processedOrders) {
      return;
    }
    processedOrders = o.number();
    o.stops().forEach(this::stop);
    if (now.isBefore(leaseUntil)) {
      o.starts().forEach(this::start);
    }
    report(now, effects);
  }

  private void start(StartOrder order) {
    RunId run = order.run();
    if (running.containsKey(run)) {
      return;
    }
    simulation.started(this, run, Fences.isFallback(fence));
    running.put(run, true);
    simulation.runAfter(100 + simulation.random.nextInt(2_000), () -> end(run, RunOutcome.DONE));
  }

  private void stop(RunId run) {
    simulation.runAfter(STOP_MILLIS, () -> end(run, RunOutcome.STOPPED));
  }

  private void end(RunId run, RunOutcome outcome) {
    if (running.remove(run) != null) {
      lastEnd++;
      ended.add(new EndedRun(lastEnd, run, outcome));
      simulation.ended(this, run);
      nextReportAt = Instant.MIN;
    }
  }

  private void expireLease(Instant now) {
    if (!now.isBefore(leaseUntil)) {
      List.copyOf(running.keySet()).forEach(r -> end(r, RunOutcome.STOPPED));
    }
  }

  private void report(Instant now, List<Effect> effects) {
    NodeId to = target;
    if (to == null) {
      return;
    }
    nextReportAt = now.plus(REPORT_INTERVAL);
    effects.add(
        new Send(
            to,
            new AgentReport(
                new Incarnation(1),
                now,
                fence,
                minion,
                true,
                true,
                to.equals(holder) ? processedOrders : 0,
                Duration.ZERO,
                running.keySet().stream().map(r -> new ActiveRun(r, 10)).toList(),
                List.of(),
                ended)));
  }
}
