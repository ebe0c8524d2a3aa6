package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import org.cassiastack.consensus.CommandCommitted;
import org.cassiastack.consensus.HandLeadershipOver;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.controller.VirtualScheduler;
import org.cassiastack.decision.Decision;
import org.cassiastack.fallback.FallbackOffer;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.InMemoryLedgerCodec;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.runs.RunId;
import org.cassiastack.schedule.FallbackController;
import org.cassiastack.schedule.LeaderController;
import org.cassiastack.schedule.ScheduleSettings;

/**
 * Simulates two control members, two fallback dispatchers, an entry and agents of one failure
 * domain in virtual time. The log is replaced by a sequence of commands that the leader appends to.
 * Processes can be frozen, and links can be cut.
 */
final class FallbackSimulation {
  static final ServiceName SERVICE = new ServiceName("ice");
  static final FailureDomain DOMAIN = new FailureDomain("a");
  static final ScheduleSettings SETTINGS =
      ScheduleSettings.of(Duration.ofSeconds(1), Duration.ofMillis(150), Duration.ofMinutes(2))
          .withFallback(Duration.ofMillis(1_300));
  static final long TASK_MILLI_CPU = 2_000;
  static final long CAPACITY_MILLI_CPU = 8_000;
  private static final int AGENTS = 4;
  private static final int TICK_MILLIS = 20;
  private static final int DISCONNECT_MILLIS = 700;
  private static final int RECONNECT_MILLIS = 50;
  private static final int ELECTION_MILLIS = 250;
  private static final Duration LEADERSHIP_LEASE = Duration.ofMillis(300);

  final Random random;
  private final VirtualScheduler scheduler =
      new VirtualScheduler(Instant.parse("2026-12-04T08:00:00Z"));
  private final InMemoryLedgerCodec codec = new InMemoryLedgerCodec();
  private final Map<NodeId, SimulatedProcess> processes = new LinkedHashMap<>();
  private final List<SimulatedProcess> members = new ArrayList<>();
  private final List<SimulatedProcess> dispatchers = new ArrayList<>();
  final List<FakeAgent> agents = new ArrayList<>();
  private final FakeEntry entry;
  private final List<CommandCommitted> log = new ArrayList<>();
  private final Map<String, Long> cutLinks = new HashMap<>();
  private final Map<String, Boolean> connected = new HashMap<>();
  private final Map<String, Instant> lastDelivery = new HashMap<>();
  private final Map<QueuedTaskId, String> running = new HashMap<>();
  private final Map<NodeId, Long> usedMilliCpu = new HashMap<>();
  final Map<AnswerCode, Integer> answers = new EnumMap<>(AnswerCode.class);
  private int startsByFallback;
  private int starts;
  private int engagements;
  private long term;
  private SimulatedProcess leader;
  private Instant electableAt = Instant.MIN;

  FallbackSimulation(long seed) {
    random = new Random(seed);
    for (int i = 0; i < 2; i++) {
      NodeId id = new NodeId("10.0.0." + i);
      members.add(add(id, LeaderController.create(id, SETTINGS, codec, UUID::randomUUID)));
    }
    for (int i = 4; i < 6; i++) {
      NodeId id = new NodeId("10.0.0." + i + "/entry");
      dispatchers.add(add(id, FallbackController.create(id, SETTINGS)));
    }
    entry = new FakeEntry(this, dispatchers.stream().map(d -> d.id).toList());
    add(FakeEntry.ID, entry);
    for (int i = 0; i < AGENTS; i++) {
      FakeAgent a = new FakeAgent(this, new NodeId("10.0.1." + i + "/agent"));
      agents.add(a);
      add(a.id, a);
    }
    leader = members.get(0);
    connectAll();
    elect(leader);
    processes.values().forEach(this::tick);
    maintainLeadership();
    runFor(300);
    Queue queue = new Queue("q", "h", "/q/", SERVICE, 0, 3, 1.6, Duration.ofMillis(60));
    StoreConfiguration c =
        new StoreConfiguration(0, new QueueConfiguration(1, List.of(queue), Payload.EMPTY));
    deliver(leader, new Received(FakeEntry.ID, c));
    runFor(700);
  }

  Instant now() {
    return scheduler.now();
  }

  void runAfter(long millis, Runnable action) {
    scheduler.runAfter(Duration.ofMillis(millis), action);
  }

  void runFor(long millis) {
    scheduler.runFor(Duration.ofMillis(millis));
  }

  void submit(int tasks) {
    entry.submit(tasks);
  }

  int starts() {
    return starts;
  }

  int startsByFallback() {
    return startsByFallback;
  }

  int engagements() {
    return engagements;
  }

  /** Freezes the leader. Another member is elected after some time. */
  void freezeLeader(long millis) {
    freeze(leader, millis);
  }

  void freezeAllMembers(long millis) {
    members.forEach(m -> freeze(m, millis));
  }

  void freezeDispatcher(long millis) {
    freeze(dispatchers.get(random.nextInt(dispatchers.size())), millis);
  }

  private void freeze(SimulatedProcess p, long millis) {
    Instant until = now().plusMillis(millis);
    p.frozenUntil = until.isAfter(p.frozenUntil) ? until : p.frozenUntil;
  }

  /** Cuts the entries and some agents off from the control members. */
  void cutOffFromMembers(long millis) {
    List<NodeId> cutOff = new ArrayList<>(dispatchers.stream().map(d -> d.id).toList());
    cutOff.add(FakeEntry.ID);
    agents.stream().filter(a -> random.nextBoolean()).forEach(a -> cutOff.add(a.id));
    for (SimulatedProcess m : members) {
      cutOff.forEach(n -> cut(m.id, n, millis));
    }
  }

  /** Cuts some agents off from one dispatcher. */
  void cutOffFromDispatcher(long millis) {
    NodeId d = dispatchers.get(random.nextInt(dispatchers.size())).id;
    agents.stream().filter(a -> random.nextBoolean()).forEach(a -> cut(a.id, d, millis));
    if (random.nextBoolean()) {
      cut(FakeEntry.ID, d, millis);
    }
  }

  private void cut(NodeId a, NodeId b, long millis) {
    String link = link(a, b);
    long end = now().plusMillis(millis).toEpochMilli();
    cutLinks.merge(link, end, Math::max);
    runAfter(
        DISCONNECT_MILLIS,
        () -> {
          if (isCut(link) && connected.put(link, false)) {
            deliver(process(a), new PeerDisconnected(b));
            deliver(process(b), new PeerDisconnected(a));
          }
        });
    runAfter(millis + RECONNECT_MILLIS, () -> connect(a, b));
  }

  private boolean isCut(String link) {
    return now().toEpochMilli() < cutLinks.getOrDefault(link, 0L);
  }

  private static String link(NodeId a, NodeId b) {
    return a.name().compareTo(b.name()) < 0 ? a + " " + b : b + " " + a;
  }

  private void connect(NodeId a, NodeId b) {
    String link = link(a, b);
    if (isCut(link) || connected.getOrDefault(link, false)) {
      return;
    }
    connected.put(link, true);
    deliver(process(a), new PeerConnected(b));
    deliver(process(b), new PeerConnected(a));
    for (SimulatedProcess m : members) {
      boolean offers = dispatchers.stream().anyMatch(d -> link.equals(link(d.id, m.id)));
      if (offers) {
        NodeId from = m.id.equals(a) ? b : a;
        deliver(m, new Received(from, new FallbackOffer(DOMAIN, true)));
      }
    }
  }

  private void connectAll() {
    List<NodeId> ids = new ArrayList<>(processes.keySet());
    for (int i = 0; i < ids.size(); i++) {
      for (int j = i + 1; j < ids.size(); j++) {
        connect(ids.get(i), ids.get(j));
      }
    }
  }

  void send(NodeId from, NodeId to, Message message) {
    String link = link(from, to);
    if (from.equals(to)) {
      deliver(process(to), new Received(from, message));
      return;
    }
    if (!connected.getOrDefault(link, false)) {
      return;
    }
    Instant at = now().plusMillis(1 + random.nextInt(4));
    String direction = from + ">" + to;
    Instant last = lastDelivery.getOrDefault(direction, at);
    Instant due = at.isBefore(last) ? last : at;
    lastDelivery.put(direction, due);
    scheduler.runAfter(
        Duration.between(now(), due),
        () -> {
          if (!isCut(link) && connected.getOrDefault(link, false)) {
            deliver(process(to), new Received(from, message));
          }
        });
  }

  private SimulatedProcess process(NodeId id) {
    return processes.get(id);
  }

  private SimulatedProcess add(NodeId id, Controller controller) {
    SimulatedProcess p = new SimulatedProcess(id, controller);
    processes.put(id, p);
    return p;
  }

  private void tick(SimulatedProcess p) {
    if (!now().isBefore(p.frozenUntil)) {
      deliver(p, new Tick());
    }
    runAfter(TICK_MILLIS, () -> tick(p));
  }

  /** Passes an event to a process, or keeps it until a frozen process goes on. */
  private void deliver(SimulatedProcess p, Event event) {
    p.waiting.add(event);
    if (now().isBefore(p.frozenUntil)) {
      scheduler.runAfter(Duration.between(now(), p.frozenUntil), () -> handleWaiting(p));
    } else {
      handleWaiting(p);
    }
  }

  private void handleWaiting(SimulatedProcess p) {
    if (now().isBefore(p.frozenUntil) || p.isBusy) {
      return;
    }
    p.isBusy = true;
    while (!p.waiting.isEmpty()) {
      perform(p, p.controller.on(p.waiting.remove(0), now()));
    }
    perform(p, p.controller.endTurn(now()));
    p.isBusy = false;
    if (!p.waiting.isEmpty()) {
      handleWaiting(p);
    }
  }

  private void perform(SimulatedProcess p, List<Effect> effects) {
    for (Effect e : effects) {
      if (e instanceof Send s) {
        send(p.id, s.to(), s.message());
      } else if (e instanceof Raise r && r.event() instanceof ProposeCommand c) {
        propose(p, c);
      } else if (e instanceof Raise r && r.event() instanceof HandLeadershipOver) {
        long endedTerm = term;
        runAfter(
            5,
            () -> {
              if (term == endedTerm && p == leader) {
                elect(p);
              }
            });
      } else if (e instanceof Raise r) {
        p.waiting.add(r.event());
      } else if (e instanceof Decision d && d.event().equals("fallback_engaged")) {
        engagements++;
      }
    }
  }

  private void propose(SimulatedProcess from, ProposeCommand c) {
    long proposedIn = term;
    if (from != leader) {
      return;
    }
    runAfter(
        2,
        () -> {
          if (term == proposedIn && !now().isBefore(from.frozenUntil)) {
            CommandCommitted committed =
                new CommandCommitted(log.size() + 1, c.proposalId(), c.command());
            log.add(committed);
            members.forEach(m -> deliver(m, committed));
          }
        });
  }

  /** Renews the leadership lease, or elects another member after the lease has expired. */
  private void maintainLeadership() {
    SimulatedProcess l = leader;
    if (!now().isBefore(l.frozenUntil)) {
      deliver(l, new LeaseExtended(term, now().plus(LEADERSHIP_LEASE)));
      electableAt = now().plus(LEADERSHIP_LEASE).plusMillis(ELECTION_MILLIS);
    } else if (!now().isBefore(electableAt)) {
      members.stream()
          .filter(m -> !now().isBefore(m.frozenUntil))
          .findFirst()
          .ifPresent(this::elect);
    }
    runAfter(100, this::maintainLeadership);
  }

  private void elect(SimulatedProcess next) {
    term++;
    leader = next;
    for (SimulatedProcess m : members) {
      if (m != next) {
        deliver(m, new LeaderChanged(term, next.id, false));
      }
    }
    deliver(next, new LeaderChanged(term, next.id, true));
    deliver(next, new LeaseExtended(term, now().plus(LEADERSHIP_LEASE)));
    electableAt = now().plus(LEADERSHIP_LEASE).plusMillis(ELECTION_MILLIS);
  }

  /** Checks the start of a run. */
  void started(FakeAgent agent, RunId run, boolean byFallback) {
    starts++;
    startsByFallback += byFallback ? 1 : 0;
    String where = "start of " + run + " at " + agent.id + " at " + now();
    assertThat(running).as(where).doesNotContainKey(run.task());
    running.put(run.task(), run + " at " + agent.id);
    long used = usedMilliCpu.merge(agent.id, TASK_MILLI_CPU, Long::sum);
    assertThat(used).as(where).isLessThanOrEqualTo(CAPACITY_MILLI_CPU);
  }

  void ended(FakeAgent agent, RunId run) {
    running.remove(run.task());
    usedMilliCpu.merge(agent.id, -TASK_MILLI_CPU, Long::sum);
  }

  void answered(LeaderReply reply) {
    answers.merge(reply.answer().code(), 1, Integer::sum);
  }
}
