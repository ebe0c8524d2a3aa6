package org.cassiastack.schedule.faults;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.VirtualScheduler;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.InMemoryLedgerCodec;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AskJob;
import org.cassiastack.request.CancelJob;
import org.cassiastack.request.DialFallback;
import org.cassiastack.request.DomainOrder;
import org.cassiastack.request.DomainRevision;
import org.cassiastack.request.HangUpFallback;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.RequestAnswered;
import org.cassiastack.request.RequestPosted;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.schedule.ScheduleSettings;
import org.jspecify.annotations.Nullable;

/** Simulates control members, agents with minions, and entries on a faulty network. */
final class QueueSimulation {
  static final int MAX_ATTEMPTS = 3;
  static final long TASK_MILLI_CPU = 2_000;
  static final int MEMBERS = 3;
  static final int AGENTS = 4;
  static final int FALLBACK_NODES = 6;
  private static final int FALLBACK_DOMAINS = 2;
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  static final Duration LEASE = Duration.ofSeconds(1);
  static final ScheduleSettings SCHEDULE_SETTINGS =
      ScheduleSettings.of(LEASE, Duration.ofMillis(150), Duration.ofMinutes(5));
  private static final String HOST = "ice.example";
  private static final String PREFIX = "/checks/";

  /** Maximum number of ends in one answer of a minion, as the users' protocol has it. */
  private static final int DEFAULT_ENDS_PER_PAGE = 500;

  private final long seed;
  private final int endsPerPage;
  private final boolean fallback;
  private final Random random;
  private final VirtualScheduler scheduler = new VirtualScheduler(START);
  private final InMemoryLedgerCodec codec = new InMemoryLedgerCodec();
  private final Map<NodeId, SimulatedNode> nodes = new LinkedHashMap<>();
  private final SimulatedNetwork network = new SimulatedNetwork(this, nodes);
  private final Map<Long, RequestAnswer> answers = new HashMap<>();
  private final RunChecker runChecker = new RunChecker(this);
  private final SimulatedCallers callers = new SimulatedCallers(this);
  private final Map<QueuedJobId, Long> submissions = new LinkedHashMap<>();
  private final Map<QueuedJobId, Long> cancellations = new LinkedHashMap<>();
  private final RunModel runModel;
  private long lastRequestId;

  private QueueSimulation(long seed, int endsPerPage, boolean fallback) {
    this.seed = seed;
    this.endsPerPage = endsPerPage;
    this.fallback = fallback;
    this.random = new Random(seed);
    this.runModel = new RunModel(random);
    for (int i = 0; i < MEMBERS; i++) {
      add(new SimulatedMember(this, "m" + i));
    }
    int domains = fallback ? FALLBACK_DOMAINS : 3;
    for (int i = 0; i < (fallback ? FALLBACK_NODES : AGENTS); i++) {
      add(new SimulatedAgent(this, "a" + i, "domain" + i % domains, 0.98 + 0.01 * (i % 4)));
    }
    for (int i = 0; i < (fallback ? FALLBACK_NODES : 1); i++) {
      add(new SimulatedEntry(this, "e" + i, "domain" + i % domains));
    }
    nodes.values().forEach(SimulatedNode::start);
  }

  static QueueSimulation create(long seed) {
    return new QueueSimulation(seed, DEFAULT_ENDS_PER_PAGE, false);
  }

  /** Creates a simulation whose entries dispatch jobs that need not be stored without a leader. */
  static QueueSimulation withFallback(long seed) {
    return new QueueSimulation(seed, DEFAULT_ENDS_PER_PAGE, true);
  }

  boolean usesFallback() {
    return fallback;
  }

  ScheduleSettings scheduleSettings() {
    return fallback
        ? SCHEDULE_SETTINGS.withFallback(Duration.ofMillis(SimulatedCallers.RESEND_MILLIS))
        : SCHEDULE_SETTINGS;
  }

  SimulatedCallers callers() {
    return callers;
  }

  /** Creates a simulation whose minions list few ends in one answer. */
  static QueueSimulation withEndsPerPage(long seed, int endsPerPage) {
    return new QueueSimulation(seed, endsPerPage, false);
  }

  int endsPerPage() {
    return endsPerPage;
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

  RunModel runModel() {
    return runModel;
  }

  Random random() {
    return random;
  }

  long millis() {
    return Duration.between(START, scheduler.now()).toMillis();
  }

  Instant instantAt(long millis) {
    return START.plusMillis(millis);
  }

  Instant now() {
    return scheduler.now();
  }

  void runAfter(long delay, Runnable action) {
    scheduler.runAfter(Duration.ofMillis(delay), action);
  }

  void run(long millis) {
    scheduler.runFor(Duration.ofMillis(millis));
  }

  /**
   * Sets the percentage of calls that minions leave unanswered, half of which they still perform
   * later, and the percentage of runs that fail.
   */
  void injectMinionFaults(int unansweredCalls, int failingRuns) {
    runModel.setFaults(unansweredCalls, failingRuns);
  }

  void configure(long version) {
    configure(version, Duration.ofSeconds(20));
  }

  void configure(long version, Duration targetLatency) {
    Queue q =
        new Queue("checks", HOST, PREFIX, FakeMinion.SERVICE, 0, MAX_ATTEMPTS, 1.6, targetLatency);
    lastRequestId++;
    QueueConfiguration c = new QueueConfiguration(version, List.of(q), Payload.ofText("v"));
    entry().on(new RequestPosted(new StoreConfiguration(lastRequestId, c), now().plusSeconds(5)));
  }

  /**
   * Submits a job that is not durable: a leader that loses leadership loses the job, which can then
   * start again at the next leader.
   */
  void submitNonDurable(int tasks) {
    Duration runTime = Duration.ofMillis(80);
    List<StepSpec> steps = List.of(StepSpec.plain(tasks, TASK_MILLI_CPU, 64, runTime));
    submit(new QueuedJob(new QueuedJobId(random.nextLong()), "spec", steps, false));
  }

  QueuedJobId submit(int tasks, boolean twoSteps) {
    QueuedJobId id = new QueuedJobId(random.nextLong());
    Duration runTime = Duration.ofMillis(80);
    List<StepSpec> steps = new ArrayList<>();
    steps.add(StepSpec.plain(tasks, TASK_MILLI_CPU, 64, runTime));
    if (twoSteps) {
      steps.add(new StepSpec(1, TASK_MILLI_CPU, 64, 0, runTime, List.of(0), "", "", 0));
    }
    submit(new QueuedJob(id, "spec", steps, true));
    return id;
  }

  private void submit(QueuedJob job) {
    runChecker.submitted(job.id(), job.durable());
    submissions.put(job.id(), submitCopy(job));
  }

  /**
   * Submits a durable job, and a second copy of the submission that comes after a delay.
   *
   * @return the ids of both requests
   */
  List<Long> submitWithLateCopy(QueuedJobId id, int tasks, long delayMillis) {
    List<StepSpec> steps =
        List.of(StepSpec.plain(tasks, TASK_MILLI_CPU, 64, Duration.ofMillis(80)));
    QueuedJob job = new QueuedJob(id, "spec", steps, true);
    runChecker.submitted(id, true);
    List<Long> requestIds = new ArrayList<>(List.of(submitCopy(job)));
    runAfter(delayMillis, () -> requestIds.add(submitCopy(job)));
    return requestIds;
  }

  private long submitCopy(QueuedJob job) {
    lastRequestId++;
    Duration timeout = Duration.ofMillis(1_500);
    SubmitJob s = SubmitJob.of(lastRequestId, address(job.id()), job, timeout);
    entry().on(new RequestPosted(s, now().plus(timeout)));
    return lastRequestId;
  }

  /**
   * Passes an order for a failure domain to a member after the time that the order is under way.
   *
   * @return the id of the request
   */
  long order(
      SimulatedNode member,
      FailureDomain domain,
      boolean out,
      Duration operatorTimeout,
      @Nullable DomainRevision basedOn,
      long transitMillis) {
    lastRequestId++;
    long requestId = lastRequestId;
    Instant awaitedUntil = now().plus(operatorTimeout);
    runAfter(
        transitMillis,
        () -> {
          Instant deadline = now().plus(operatorTimeout);
          member.on(new DomainOrder(requestId, domain, out, awaitedUntil, basedOn, deadline));
        });
    return requestId;
  }

  /** Returns the answer to a request, or null while there is none. */
  @Nullable RequestAnswer answer(long requestId) {
    return answers.get(requestId);
  }

  /** Returns the ledger of the member that has applied most entries. */
  JobLedger ledger() {
    return members().stream()
        .map(m -> ((SimulatedMember) m).observer())
        .max(Comparator.comparingLong(LedgerObserver::lastIndex))
        .orElseThrow()
        .ledger();
  }

  void cancel(QueuedJobId id) {
    lastRequestId++;
    cancellations.put(id, lastRequestId);
    entry().on(new RequestPosted(new CancelJob(lastRequestId, address(id)), now().plusSeconds(1)));
  }

  boolean wasAccepted(QueuedJobId id) {
    RequestAnswer a = answers.get(submissions.get(id));
    return a != null && a.code() == AnswerCode.ACCEPTED;
  }

  boolean wasRefused(QueuedJobId id) {
    RequestAnswer a = answers.get(submissions.get(id));
    return a != null && a.code() != AnswerCode.ACCEPTED && a.code() != AnswerCode.UNANSWERED;
  }

  boolean wasCancelled(QueuedJobId id) {
    Long requestId = cancellations.get(id);
    RequestAnswer a = requestId == null ? null : answers.get(requestId);
    return a != null && a.code() == AnswerCode.ACCEPTED;
  }

  /** Queries a job, and runs the simulation until the answer arrives; null after 2.2 s. */
  RequestAnswer query(QueuedJobId id) {
    lastRequestId++;
    long requestId = lastRequestId;
    entry().on(new RequestPosted(new AskJob(requestId, address(id)), now().plusSeconds(2)));
    for (int i = 0; i < 220 && !answers.containsKey(requestId); i++) {
      run(10);
    }
    return answers.get(requestId);
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

  List<SimulatedNode> entries() {
    return nodes.values().stream().filter(SimulatedEntry.class::isInstance).toList();
  }

  /** Returns the member that was elected last. */
  SimulatedMember leader() {
    return members().stream()
        .map(SimulatedMember.class::cast)
        .max(Comparator.comparingLong(m -> m.observer().ledTerm()))
        .orElseThrow();
  }

  SimulatedNode entry() {
    return nodes.get(new NodeId("e0"));
  }

  void crashMinion(SimulatedNode agent) {
    ((SimulatedAgent) agent).minion().crash();
  }

  /** Makes the minion of an agent announce that it leaves, and restarts it after a delay. */
  void drainMinion(SimulatedNode agent, long delay) {
    ((SimulatedAgent) agent).minion().drain();
    runAfter(delay, () -> crashMinion(agent));
  }

  void loseDisk(SimulatedNode member) {
    ((SimulatedMember) member).loseDisk();
  }

  void losePower(SimulatedNode member) {
    ((SimulatedMember) member).crashDisk();
    member.kill();
  }

  SimulatedNetwork network() {
    return network;
  }

  void reconnectAll() {
    network.reconnectAll();
  }

  void cutLink(SimulatedNode from, SimulatedNode to) {
    network.cutLink(from, to);
  }

  void perform(SimulatedNode from, Effect effect) {
    if (effect instanceof Send s) {
      network.deliver(from, s);
    } else if (effect instanceof RequestAnswered a) {
      answers.put(a.requestId(), a.answer());
      callers.answered(a);
    } else if (effect instanceof DialFallback d) {
      network.dial(from, d.nodes());
    } else if (effect instanceof HangUpFallback) {
      network.hangUp(from);
    } else {
      from.perform(effect);
    }
  }

  private void add(SimulatedNode node) {
    nodes.put(node.node, node);
  }

  static QueueAddress address(QueuedJobId id) {
    return new QueueAddress(HOST, PREFIX + id);
  }
}
