package org.cassiastack.schedule;

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
import org.cassiastack.consensus.HandLeadershipOver;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.decision.Decision;
import org.cassiastack.fallback.FallbackOffer;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.InMemoryLedgerCodec;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.Resources;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AwaitedJobs;
import org.cassiastack.request.AwaitedSubmit;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.Fences;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;

/**
 * Base of tests of a leader with one queue and two agents. The leader's proposals are committed at
 * once, unless {@link #holdCommits} is set.
 */
abstract class LeaderScenario {
  static final NodeId SELF = new NodeId("10.0.0.1");
  static final NodeId ENTRY = new NodeId("10.0.0.1/entry");
  static final NodeId FIRST = new NodeId("10.0.0.7/agent");
  static final NodeId SECOND = new NodeId("10.0.0.8/agent");
  static final ServiceName SERVICE = new ServiceName("ice");
  static final QueuedJobId ID = new QueuedJobId(0xaaL);
  static final QueueAddress ADDRESS = new QueueAddress("h", "/q/" + ID);
  static final ScheduleSettings SETTINGS =
      ScheduleSettings.of(Duration.ofSeconds(1), Duration.ofMillis(150), Duration.ofMinutes(2));

  static final Duration RESEND_DELAY = Duration.ofMillis(1_300);
  static final Duration REPORT_INTERVAL = Duration.ofMillis(30);

  final InMemoryLedgerCodec codec = new InMemoryLedgerCodec();
  final LeaderController leader =
      LeaderController.create(SELF, settings(), codec, UUID::randomUUID);

  /** Start orders by agent. */
  final Map<NodeId, List<StartOrder>> starts = new HashMap<>();

  final List<RunId> stops = new ArrayList<>();
  final Map<NodeId, Long> lastOrdersNumbers = new HashMap<>();
  final List<AgentLease> leases = new ArrayList<>();
  final List<RequestAnswer> answers = new ArrayList<>();
  final List<Decision> decisions = new ArrayList<>();
  final List<Send> sends = new ArrayList<>();
  int handOvers;
  Instant now = Instant.parse("2026-12-04T08:00:00Z");
  long fence;
  long lastCommitIndex;
  long lastRequestId;

  /** Labels, failure domain and service of the minions that differ from the default. */
  final Map<NodeId, List<String>> labels = new HashMap<>();

  final Map<NodeId, FailureDomain> domains = new HashMap<>();
  final Map<NodeId, ServiceName> services = new HashMap<>();

  /** Start times of the minions that have restarted. */
  final Map<NodeId, Long> minionStarts = new HashMap<>();

  /** Incarnations of the agents that have restarted. */
  final Map<NodeId, Long> agentIncarnations = new HashMap<>();

  /** Whether proposals are kept back instead of being committed. */
  boolean holdCommits;

  final List<ProposeCommand> heldProposals = new ArrayList<>();
  NodeId lastStartAgent = SELF;

  @BeforeEach
  void setUpLeaderWithOneQueueAndTwoMinions() {
    lead(5);
    request(new StoreConfiguration(++lastRequestId, configuration()));
    report(FIRST, List.of(), List.of());
    report(SECOND, List.of(), List.of());
    report(FIRST, List.of(), List.of());
    report(SECOND, List.of(), List.of());
    answers.clear();
  }

  /** Returns the settings of the leader. */
  ScheduleSettings settings() {
    return SETTINGS;
  }

  /** Makes the controller lose leadership and win it again in a new term. */
  void lead(long term) {
    fence = settings().fallback() ? Fences.ofLeader(term) : term;
    on(new LeaderChanged(term - 1, null, false));
    on(new LeaderChanged(term, SELF, true));
    on(new LeaseExtended(term, now.plusSeconds(10)));
    lastOrdersNumbers.clear();
  }

  void submit(int tasks, boolean durable) {
    QueuedJob job = job(List.of(step(tasks, 1_000)), durable);
    request(SubmitJob.of(++lastRequestId, ADDRESS, job, Duration.ofSeconds(1)));
  }

  static QueuedJob job(List<StepSpec> steps, boolean durable) {
    return new QueuedJob(ID, "spec", steps, durable);
  }

  static StepSpec step(int tasks, long milliCpu) {
    return StepSpec.plain(tasks, milliCpu, 64, Duration.ofMillis(100));
  }

  /** Connects an entry and makes it offer itself as a fallback dispatcher. */
  void offer(NodeId entry, String domain) {
    on(new PeerConnected(entry));
    on(new Received(entry, new FallbackOffer(new FailureDomain(domain), true)));
  }

  /** Passes a request of an entry, which has got a probe just now if the leader sends probes. */
  void request(LeaderRequest request) {
    boolean isAwaited = settings().fallback() && request instanceof SubmitJob;
    on(new Received(ENTRY, isAwaited ? new AwaitedSubmit((SubmitJob) request, now) : request));
  }

  /** Confirms that callers of the entry wait for some jobs. */
  void confirm(QueuedJobId... jobs) {
    on(new Received(ENTRY, new AwaitedJobs(now, List.of(jobs))));
  }

  void report(NodeId agent, List<ActiveRun> running, List<EndedRun> ended) {
    report(agent, running, ended, false);
  }

  void report(NodeId agent, List<ActiveRun> running, List<EndedRun> ended, boolean draining) {
    report(agent, running, ended, draining, true);
  }

  void report(
      NodeId agent,
      List<ActiveRun> running,
      List<EndedRun> ended,
      boolean draining,
      boolean listsComplete) {
    now = now.plusMillis(1);
    MinionProfile minion = minionOf(agent, draining);
    on(
        new Received(
            agent,
            new AgentReport(
                new Incarnation(agentIncarnations.getOrDefault(agent, 1L)),
                now,
                fence,
                minion,
                true,
                listsComplete,
                lastOrdersNumbers.getOrDefault(agent, 0L),
                Duration.ZERO,
                running,
                List.of(),
                ended)));
  }

  private MinionProfile minionOf(NodeId agent, boolean draining) {
    return new MinionProfile(
        new MinionIncarnation(
            new MinionId("minion of " + agent), minionStarts.getOrDefault(agent, 1L)),
        services.getOrDefault(agent, SERVICE),
        domains.getOrDefault(agent, new FailureDomain("a")),
        new Resources(8_000, 8_000, 0),
        labels.getOrDefault(agent, List.of()),
        draining);
  }

  /** Reports as an agent that has restarted, and whose minion has not answered it yet. */
  void reportAfterRestart(NodeId agent, long knownFence) {
    reportAfterRestart(agent, minionOf(agent, false), knownFence);
  }

  void reportAfterRestart(NodeId agent, @Nullable MinionProfile minion, long knownFence) {
    now = now.plusMillis(1);
    AgentReport report =
        new AgentReport(
            new Incarnation(2),
            now,
            knownFence,
            minion,
            false,
            false,
            0,
            Duration.ZERO,
            List.of(),
            List.of(),
            List.of());
    on(new Received(agent, report));
  }

  /** Reports the first ends of a minion that has more of them than it lists. */
  void reportFirstEnds(NodeId agent, List<EndedRun> ended) {
    report(agent, List.of(), ended, false, false);
  }

  /**
   * Reports at intervals that the run of one agent makes even progress and that the other is idle.
   */
  void reportFor(Duration time, NodeId agent, RunId run, int fromPercent, int toPercent) {
    int rounds = (int) time.dividedBy(REPORT_INTERVAL);
    for (int i = 1; i <= rounds; i++) {
      now = now.plus(REPORT_INTERVAL);
      int percent = fromPercent + (toPercent - fromPercent) * i / rounds;
      report(agent, List.of(new ActiveRun(run, percent)), List.of());
      report(agent.equals(FIRST) ? SECOND : FIRST, List.of(), List.of());
      on(new Tick());
    }
  }

  /** Commits the proposals that were kept back and those that follow them, in order. */
  void commitHeldProposals() {
    while (!heldProposals.isEmpty()) {
      ProposeCommand p = heldProposals.remove(0);
      on(new CommandCommitted(++lastCommitIndex, p.proposalId(), p.command()));
    }
    holdCommits = false;
  }

  List<RunId> started() {
    return starts.values().stream().flatMap(List::stream).map(StartOrder::run).toList();
  }

  /** Passes an event to the leader and records the effects. */
  void on(Event first) {
    Queue<Event> events = new ArrayDeque<>(List.of(first));
    boolean turnEnded;
    do {
      Event e = events.poll();
      for (Effect f : e == null ? leader.endTurn(now) : leader.on(e, now)) {
        if (f instanceof Send s) {
          sends.add(s);
        } else if (f instanceof Raise r && r.event() instanceof HandLeadershipOver) {
          handOvers++;
        }
        if (f instanceof Raise r && r.event() instanceof ProposeCommand p) {
          if (holdCommits) {
            heldProposals.add(p);
          } else {
            events.add(new CommandCommitted(++lastCommitIndex, p.proposalId(), p.command()));
          }
        } else if (f instanceof Decision d) {
          decisions.add(d);
        } else if (f instanceof Send s && s.message() instanceof RunOrders o) {
          lastOrdersNumbers.put(s.to(), o.number());
          starts.computeIfAbsent(s.to(), n -> new ArrayList<>()).addAll(o.starts());
          lastStartAgent = o.starts().isEmpty() ? lastStartAgent : s.to();
          stops.addAll(o.stops());
        } else if (f instanceof Send s && s.message() instanceof AgentLease l) {
          leases.add(l);
        } else if (f instanceof Send s && s.message() instanceof LeaderReply r) {
          answers.add(r.answer());
        }
      }
      turnEnded = e == null;
    } while (!turnEnded || !events.isEmpty());
  }

  static QueueConfiguration configuration() {
    return configuration(1, queue("q", 2));
  }

  static QueueConfiguration configuration(long version, org.cassiastack.queue.Queue... queues) {
    return new QueueConfiguration(version, List.of(queues), Payload.ofText("document"));
  }

  /** Returns a queue for the paths that begin with its name. */
  static org.cassiastack.queue.Queue queue(String name, int maxAttempts) {
    return queue(name, SERVICE, maxAttempts);
  }

  static org.cassiastack.queue.Queue queue(String name, ServiceName service, int maxAttempts) {
    String prefix = "/" + name + "/";
    return new org.cassiastack.queue.Queue(
        name, "h", prefix, service, 0, maxAttempts, 1.6, Duration.ofMillis(60));
  }
}
