package org.cassiastack.bench.placing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.UUID;
import org.cassiastack.consensus.CommandCommitted;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.Resources;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.RunOutcome;
import org.cassiastack.runs.StartOrder;
import org.cassiastack.schedule.LeaderController;
import org.cassiastack.schedule.ScheduleSettings;
import org.cassiastack.transport.codec.MessagePackLedgerCodec;

/** A leader with workers that run what they are ordered to, in virtual time. */
final class BusyLeader {
  private static final NodeId SELF = new NodeId("leader");
  private static final NodeId ENTRY = new NodeId("entry");
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final QueueAddress ADDRESS = new QueueAddress("host", "/queue/1");
  private static final long TERM = 1;
  private static final Duration LEASE = Duration.ofDays(1);

  private final LeaderController leader =
      LeaderController.create(
          SELF,
          ScheduleSettings.of(Duration.ofHours(1), Duration.ofSeconds(1), Duration.ofMinutes(2)),
          MessagePackLedgerCodec.create(),
          UUID::randomUUID);
  private final List<NodeId> agents = new ArrayList<>();
  private final Map<NodeId, List<RunId>> runs = new HashMap<>();
  private final Map<NodeId, Long> lastOrders = new HashMap<>();
  private final Map<NodeId, Long> lastEnds = new HashMap<>();
  private Instant now = Instant.EPOCH;
  private long lastIndex;
  private long lastRequest;

  private BusyLeader(int workers) {
    on(new LeaderChanged(TERM, SELF, true));
    on(new LeaseExtended(TERM, now.plus(LEASE)));
    for (int i = 0; i < workers; i++) {
      agents.add(new NodeId("agent-" + i));
    }
    for (int round = 0; round < 2; round++) {
      agents.forEach(a -> report(a, List.of()));
    }
    request(new StoreConfiguration(++lastRequest, configuration()));
  }

  static BusyLeader withWorkers(int workers) {
    return new BusyLeader(workers);
  }

  /** Submits a job for each of the given steps. */
  void submit(List<StepSpec> steps) {
    for (StepSpec s : steps) {
      lastRequest++;
      QueuedJob job = new QueuedJob(new QueuedJobId(lastRequest), "spec", List.of(s), true);
      request(SubmitJob.of(lastRequest, ADDRESS, job, Duration.ofSeconds(1)));
    }
  }

  /** Ends the oldest run of a worker, so that the leader places the next task. */
  void endOldestRun(int worker) {
    NodeId agent = agents.get(worker);
    List<RunId> ofAgent = runs.getOrDefault(agent, List.of());
    if (ofAgent.isEmpty()) {
      report(agent, List.of());
      return;
    }
    long sequence = lastEnds.merge(agent, 1L, Long::sum);
    report(agent, List.of(new EndedRun(sequence, ofAgent.remove(0), RunOutcome.DONE)));
  }

  private void request(LeaderRequest request) {
    on(new Received(ENTRY, request));
  }

  private void report(NodeId agent, List<EndedRun> ended) {
    now = now.plusMillis(1);
    List<ActiveRun> running =
        runs.getOrDefault(agent, List.of()).stream().map(r -> new ActiveRun(r, 0)).toList();
    on(
        new Received(
            agent,
            new AgentReport(
                new Incarnation(1),
                now,
                TERM,
                minion(agent),
                true,
                true,
                lastOrders.getOrDefault(agent, 0L),
                Duration.ZERO,
                running,
                List.of(),
                ended)));
  }

  private static MinionProfile minion(NodeId agent) {
    return new MinionProfile(
        new MinionIncarnation(new MinionId(agent.name()), 1),
        SERVICE,
        new FailureDomain("domain"),
        new Resources(16_000, 64_000, 0),
        List.of(),
        false);
  }

  private static QueueConfiguration configuration() {
    org.cassiastack.queue.Queue q =
        new org.cassiastack.queue.Queue(
            "queue", "host", "/queue/", SERVICE, 0, 2, 1.6, Duration.ofMillis(60));
    return new QueueConfiguration(1, List.of(q), Payload.ofText("document"));
  }

  private void on(Event first) {
    Queue<Event> events = new ArrayDeque<>(List.of(first));
    boolean turnEnded;
    do {
      Event e = events.poll();
      for (Effect f : e == null ? leader.endTurn(now) : leader.on(e, now)) {
        handle(f, events);
      }
      turnEnded = e == null;
    } while (!turnEnded || !events.isEmpty());
  }

  private void handle(Effect effect, Queue<Event> events) {
    if (effect instanceof Raise r && r.event() instanceof ProposeCommand p) {
      events.add(new CommandCommitted(++lastIndex, p.proposalId(), p.command()));
    } else if (effect instanceof Send s && s.message() instanceof RunOrders o) {
      lastOrders.put(s.to(), o.number());
      List<RunId> ofAgent = runs.computeIfAbsent(s.to(), n -> new ArrayList<>());
      o.starts().stream().map(StartOrder::run).forEach(ofAgent::add);
    }
  }
}
