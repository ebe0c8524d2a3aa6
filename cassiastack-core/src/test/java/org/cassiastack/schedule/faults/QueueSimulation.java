package org.cassiastack.schedule.faults;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.VirtualScheduler;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.InMemoryLedgerCodec;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AskJob;
import org.cassiastack.request.CancelJob;
import org.cassiastack.request.DeskCall;
import org.cassiastack.request.DeskCode;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.RequestAnswered;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.RunId;
import org.cassiastack.schedule.ScheduleSettings;

/** Control members, agents with minions, and an entry, on a faulty network in virtual time. */
final class QueueSimulation {
  static final int MAX_ATTEMPTS = 3;
  static final long TASK_MILLI_CPU = 2_000;
  static final int MEMBERS = 3;
  static final int AGENTS = 4;
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  static final Duration LEASE = Duration.ofSeconds(1);
  static final ScheduleSettings SCHEDULE_SETTINGS =
      new ScheduleSettings(LEASE, Duration.ofMillis(150), Duration.ofMinutes(5));
  private static final int SILENCE_MILLIS = 900;
  private static final String HOST = "ice.example";
  private static final String PREFIX = "/checks/";

  private final long seed;
  private final Random random;
  private final VirtualScheduler schedule = new VirtualScheduler(START);
  private final InMemoryLedgerCodec codec = new InMemoryLedgerCodec();
  private final Map<NodeId, SimulatedNode> nodes = new LinkedHashMap<>();
  private final Set<Link> cut = new HashSet<>();
  private final Set<Link> connected = new HashSet<>();
  private final Map<Link, Long> lastDelivery = new HashMap<>();
  private final Map<Long, RequestAnswer> answers = new HashMap<>();
  private final RunChecker runChecker = new RunChecker(this);
  private final Map<QueuedJobId, Long> submissions = new LinkedHashMap<>();
  private final Map<QueuedJobId, Long> cancellations = new LinkedHashMap<>();
  private int unansweredPercent;
  private int failingPercent;
  private long calls;

  QueueSimulation(long seed) {
    this.seed = seed;
    this.random = new Random(seed);
    for (int i = 0; i < MEMBERS; i++) {
      add(new SimulatedMember(this, "m" + i));
    }
    for (int i = 0; i < AGENTS; i++) {
      add(new SimulatedAgent(this, "a" + i, "domain" + i % 3, 0.98 + 0.01 * (i % 4)));
    }
    add(new SimulatedEntry(this, "e0"));
    nodes.values().forEach(SimulatedNode::start);
  }

  @Override
  public String toString() {
    return "seed " + seed + " at " + millis() + " ms:";
  }

  RunChecker runChecker() {
    return runChecker;
  }

  InMemoryLedgerCodec codec() {
    return codec;
  }

  /** Tells, by chance, whether a call to a minion stays without answer. */
  boolean leavesCallUnanswered() {
    return random.nextInt(100) < unansweredPercent;
  }

  Random random() {
    return random;
  }

  long millis() {
    return Duration.between(START, schedule.now()).toMillis();
  }

  Instant now() {
    return schedule.now();
  }

  void after(long delay, Runnable action) {
    schedule.runAfter(Duration.ofMillis(delay), action);
  }

  void run(long forMillis) {
    schedule.runFor(Duration.ofMillis(forMillis));
  }

  /** Makes minions leave calls unanswered, half of which they carry out later all the same. */
  void injectMinionFaults(int unanswered, int failing) {
    unansweredPercent = unanswered;
    failingPercent = failing;
  }

  void configure(long version) {
    Queue q =
        new Queue(
            "checks",
            HOST,
            PREFIX,
            FakeMinion.SERVICE,
            0,
            MAX_ATTEMPTS,
            1.6,
            Duration.ofSeconds(20));
    calls++;
    QueueConfiguration c = new QueueConfiguration(version, List.of(q), Payload.ofText("v"));
    entry().on(new DeskCall(new StoreConfiguration(calls, c), now().plusSeconds(5)));
  }

  /** Submits a job that is lost with its leader, and is then started from the beginning. */
  void submitNonDurable(int tasks) {
    Duration work = Duration.ofMillis(80);
    List<StepSpec> steps = List.of(StepSpec.plain(tasks, TASK_MILLI_CPU, 64, work));
    submit(new QueuedJob(new QueuedJobId(random.nextLong()), "spec", steps, false));
  }

  QueuedJobId submit(int tasks, boolean twoSteps) {
    QueuedJobId id = new QueuedJobId(random.nextLong());
    Duration work = Duration.ofMillis(80);
    List<StepSpec> steps = new ArrayList<>();
    steps.add(StepSpec.plain(tasks, TASK_MILLI_CPU, 64, work));
    if (twoSteps) {
      steps.add(new StepSpec(1, TASK_MILLI_CPU, 64, 0, work, List.of(0), "", "", 0));
    }
    submit(new QueuedJob(id, "spec", steps, true));
    return id;
  }

  private void submit(QueuedJob job) {
    runChecker.submitted(job.id(), job.durable());
    calls++;
    submissions.put(job.id(), calls);
    Duration patience = Duration.ofMillis(1_500);
    SubmitJob s = SubmitJob.of(calls, address(job.id()), job, patience);
    entry().on(new DeskCall(s, now().plus(patience)));
  }

  void cancel(QueuedJobId id) {
    calls++;
    cancellations.put(id, calls);
    entry().on(new DeskCall(new CancelJob(calls, address(id)), now().plusSeconds(1)));
  }

  boolean wasAccepted(QueuedJobId id) {
    RequestAnswer a = answers.get(submissions.get(id));
    return a != null && a.code() == DeskCode.ACCEPTED;
  }

  boolean wasRefused(QueuedJobId id) {
    RequestAnswer a = answers.get(submissions.get(id));
    return a != null && a.code() != DeskCode.ACCEPTED && a.code() != DeskCode.UNANSWERED;
  }

  boolean wasCancelled(QueuedJobId id) {
    Long call = cancellations.get(id);
    RequestAnswer a = call == null ? null : answers.get(call);
    return a != null && a.code() == DeskCode.ACCEPTED;
  }

  /** Asks for a job and runs on until it is answered. */
  RequestAnswer query(QueuedJobId id) {
    calls++;
    long call = calls;
    entry().on(new DeskCall(new AskJob(call, address(id)), now().plusSeconds(2)));
    for (int i = 0; i < 220 && !answers.containsKey(call); i++) {
      run(10);
    }
    return answers.get(call);
  }

  JobPhase phase(QueuedJobId id) {
    RequestAnswer a = query(id);
    return a == null ? null : a.phase();
  }

  List<SimulatedNode> members() {
    return nodes.values().stream().filter(SimulatedMember.class::isInstance).toList();
  }

  List<SimulatedNode> agents() {
    return nodes.values().stream().filter(SimulatedAgent.class::isInstance).toList();
  }

  SimulatedNode entry() {
    return nodes.get(new NodeId("e0"));
  }

  void crashMinion(SimulatedNode agent) {
    ((SimulatedAgent) agent).minion().crash();
  }

  /** The minion of an agent says that it leaves, and ends after a while. */
  void drainMinion(SimulatedNode agent, long forMillis) {
    ((SimulatedAgent) agent).minion().drain();
    after(forMillis, () -> crashMinion(agent));
  }

  void loseDisk(SimulatedNode member) {
    ((SimulatedMember) member).loseDisk();
  }

  void killPower(SimulatedNode member) {
    ((SimulatedMember) member).crashDisk();
    member.kill();
  }

  /** Cuts a link in one direction; its ends notice after a while. */
  void cut(SimulatedNode from, SimulatedNode to) {
    cut.add(new Link(from.node, to.node));
    after(SILENCE_MILLIS, () -> disconnectIfCut(from, to));
  }

  void healAll() {
    cut.clear();
    for (SimulatedNode a : nodes.values()) {
      for (SimulatedNode b : nodes.values()) {
        connect(a, b);
      }
    }
  }

  long runMillisOf(RunId run) {
    return 40L + Math.floorMod(run.hashCode(), 120);
  }

  boolean fails(RunId run) {
    return Math.floorMod(run.hashCode() / 7, 100) < failingPercent;
  }

  void connected(SimulatedNode node) {
    nodes.values().forEach(other -> connect(node, other));
  }

  void disconnected(SimulatedNode node) {
    for (SimulatedNode other : nodes.values()) {
      disconnect(node, other);
    }
  }

  void perform(SimulatedNode from, Effect effect) {
    if (effect instanceof Send s) {
      deliver(from, s);
    } else if (effect instanceof RequestAnswered a) {
      answers.put(a.requestId(), a.answer());
    } else {
      from.perform(effect);
    }
  }

  private void deliver(SimulatedNode from, Send s) {
    SimulatedNode to = nodes.get(s.to());
    if (to == from) {
      after(0, () -> to.on(new Received(from.node, s.message())));
      return;
    }
    Link link = new Link(from.node, s.to());
    if (to == null || !connected.contains(link)) {
      return;
    }
    int life = to.incarnation();
    long at = Math.max(millis() + 1 + random.nextInt(3), lastDelivery.getOrDefault(link, 0L));
    lastDelivery.put(link, at);
    after(
        at - millis(),
        () -> {
          if (!cut.contains(link) && connected.contains(link)) {
            to.on(new Received(from.node, s.message()), life);
          }
        });
  }

  private void connect(SimulatedNode a, SimulatedNode b) {
    boolean apart = a == b || !a.isUp() || !b.isUp();
    Link there = new Link(a.node, b.node);
    Link back = new Link(b.node, a.node);
    boolean pair = a instanceof SimulatedMember || b instanceof SimulatedMember;
    if (apart || !pair || cut.contains(there) || cut.contains(back) || !connected.add(there)) {
      return;
    }
    connected.add(back);
    post(a, new PeerConnected(b.node));
    post(b, new PeerConnected(a.node));
  }

  private void disconnectIfCut(SimulatedNode a, SimulatedNode b) {
    if (cut.contains(new Link(a.node, b.node))) {
      disconnect(a, b);
    }
  }

  private void disconnect(SimulatedNode a, SimulatedNode b) {
    if (connected.remove(new Link(a.node, b.node))) {
      connected.remove(new Link(b.node, a.node));
      post(a, new PeerDisconnected(b.node));
      post(b, new PeerDisconnected(a.node));
    }
  }

  private void post(SimulatedNode node, Event event) {
    int life = node.incarnation();
    after(0, () -> node.on(event, life));
  }

  private void add(SimulatedNode node) {
    nodes.put(node.node, node);
  }

  private static QueueAddress address(QueuedJobId id) {
    return new QueueAddress(HOST, PREFIX + id);
  }

  private record Link(NodeId from, NodeId to) {}
}
