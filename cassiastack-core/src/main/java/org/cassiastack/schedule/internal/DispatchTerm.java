package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.Supplier;
import org.cassiastack.controller.Effect;
import org.cassiastack.desk.AskJob;
import org.cassiastack.desk.AskQueueConfiguration;
import org.cassiastack.desk.CancelJob;
import org.cassiastack.desk.DeskAnswer;
import org.cassiastack.desk.DeskCode;
import org.cassiastack.desk.LeaderReply;
import org.cassiastack.desk.LeaderRequest;
import org.cassiastack.desk.QueueAddress;
import org.cassiastack.desk.StoreConfiguration;
import org.cassiastack.desk.SubmitJob;
import org.cassiastack.desk.SwitchDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.LedgerBatch;
import org.cassiastack.queue.LedgerCodec;
import org.cassiastack.queue.LedgerJob;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.schedule.ScheduleSettings;
import org.jspecify.annotations.Nullable;

/**
 * The work of one leader from its election until it is no longer sure to lead.
 *
 * <ol>
 *   <li>{@link #requested} answers callers and operators, from the ledger where it can.
 *   <li>{@link #reported} takes the agents' reports and renews their leases.
 *   <li>{@link #turn} places tasks, proposes changes of the ledger and returns what is to be sent.
 * </ol>
 */
public final class DispatchTerm {
  /** An agent that is silent for this long is gone for good, or comes back as a new one. */
  private static final Duration AGENT_MEMORY = Duration.ofSeconds(30);

  private final long fence;
  private final JobLedger ledger;
  private final ScheduleSettings settings;
  private final Instant beganAt;
  private final PendingCommits commits;
  private final JobBoard board = new JobBoard();
  private final Runs runs;
  private final Fleet fleet;
  private final Dispatcher dispatcher;
  private final Set<NodeId> joining = new HashSet<>();
  private final Map<QueuedJobId, Caller> callers = new HashMap<>();
  private final RecentAnswers recent = new RecentAnswers();
  private List<Effect> effects = new ArrayList<>();
  private Instant sureUntil = Instant.MIN;
  private boolean begun;
  private boolean accounted;

  private DispatchTerm(
      long fence,
      JobLedger ledger,
      ScheduleSettings settings,
      LedgerCodec codec,
      Supplier<UUID> proposals,
      Instant now) {
    this.fence = fence;
    this.ledger = ledger;
    this.settings = settings;
    this.beganAt = now;
    this.commits = new PendingCommits(codec, proposals);
    this.runs = new Runs(board, commits, this::failed, this::completed);
    this.fleet = new Fleet(settings, runs);
    this.dispatcher = new Dispatcher(board, fleet, ledger);
  }

  /** Begins a term with the jobs that the ledger holds. */
  public static DispatchTerm begin(
      long fence,
      JobLedger ledger,
      ScheduleSettings settings,
      LedgerCodec codec,
      Supplier<UUID> proposals,
      Instant now) {
    DispatchTerm t = new DispatchTerm(fence, ledger, settings, codec, proposals, now);
    for (LedgerJob j : ledger.live()) {
      t.board.restore(j, ledger.queueOf(j), now);
    }
    t.commits.newGeneration(at -> t.begun = true);
    return t;
  }

  /** Returns the fence of this leader, which is higher than that of any leader before. */
  public long fence() {
    return fence;
  }

  /** Takes note that nobody else can lead before a time. */
  public void extended(Instant until) {
    sureUntil = until.isAfter(sureUntil) ? until : sureUntil;
  }

  /** Tells whether nobody else can lead now. */
  public boolean isSure(Instant now) {
    return now.isBefore(sureUntil);
  }

  /** Takes note that a batch is committed and applied. */
  public void committed(UUID proposal, LedgerBatch batch, Instant now) {
    commits.committed(proposal, now);
  }

  /** Lets time pass. */
  public void tick(Instant now) {
    fleet.tick(now);
    board.ready.age(now);
    dropAbandoned(now);
    recent.forget(now);
    for (WorkerState w : fleet.workers()) {
      runs.stopAgain(w, now);
      dispatcher.probe(w, fence, now, effects);
    }
    forgetAgents(now);
  }

  /** Takes a report and answers it with a lease. */
  public void reported(NodeId agent, AgentReport r, Instant now) {
    if (r.fence() > fence || !isSure(now)) {
      return;
    }
    if (!ledger.agents().contains(agent)) {
      if (joining.add(agent)) {
        commits.agent(agent, at -> joining.remove(agent));
      }
      return;
    }
    WorkerState w = fleet.reported(agent, r, fence, now);
    if (w != null) {
      MinionProfile m = w.minion;
      effects.add(
          new Send(
              agent,
              new AgentLease(
                  fence,
                  r.sentAt(),
                  settings.lease(),
                  m == null ? null : m.life(),
                  w.acknowledgedThrough())));
    }
  }

  /** Places what can be placed, proposes what has gathered, and returns what is to be done. */
  public List<Effect> turn(Instant now) {
    if (begun && isSure(now) && isAccounted(now)) {
      dispatcher.place(ledger.generation(), now);
    }
    for (WorkerState w : fleet.workers()) {
      dispatcher.send(w, fence, now, effects);
    }
    commits.propose(now, effects);
    List<Effect> all = effects;
    effects = new ArrayList<>();
    return all;
  }

  /** Answers a request, at once or when it is committed. */
  public void requested(NodeId from, LeaderRequest q, Instant now) {
    Caller caller = new Caller(from, q.call());
    if (q instanceof SubmitJob s) {
      submitted(caller, s, now);
    } else if (q instanceof AskJob a) {
      answer(caller, asked(a.address()));
    } else if (q instanceof CancelJob c) {
      cancelled(caller, c.address());
    } else if (q instanceof StoreConfiguration s) {
      commits.configuration(s.configuration(), at -> answer(caller, DeskCode.ACCEPTED));
    } else if (q instanceof SwitchDomain d) {
      commits.domain(
          new LedgerBatch.DomainSwitch(d.domain(), d.out()),
          at -> answer(caller, DeskCode.ACCEPTED));
    } else if (q instanceof AskQueueConfiguration) {
      QueueConfiguration c = ledger.configuration();
      answer(
          caller,
          c == null ? DeskAnswer.of(DeskCode.NOT_CONFIGURED) : DeskAnswer.document(c.document()));
    }
  }

  private void submitted(Caller caller, SubmitJob s, Instant now) {
    QueuedJobId id = s.job().id();
    JobPhase known = recent.find(id);
    if (known != null) {
      answer(caller, DeskAnswer.phase(DeskCode.ACCEPTED, known));
      return;
    }
    if (ledger.knows(id)) {
      answer(caller, DeskCode.ACCEPTED);
      return;
    }
    if (board.find(id) != null) {
      callers.put(id, caller);
      return;
    }
    if (commits.isAccepting(id)) {
      // The first one is answered once it is stored; this one asks again if that is too late.
      callers.put(id, caller);
      return;
    }
    QueueConfiguration c = ledger.configuration();
    if (c == null) {
      answer(caller, DeskCode.NOT_CONFIGURED);
      return;
    }
    Queue queue = c.find(s.address().host(), s.address().path());
    if (queue == null) {
      answer(caller, DeskCode.NO_SUCH_QUEUE);
      return;
    }
    admit(caller, s, queue, now);
  }

  private void admit(Caller caller, SubmitJob s, Queue queue, Instant now) {
    for (StepSpec step : s.job().steps()) {
      if (!fleet.couldHold(queue.service(), step.need())) {
        answer(caller, DeskCode.UNSUPPORTED);
        return;
      }
    }
    Duration delay =
        Admission.delay(
            board.backlog(queue.service(), queue.priority()), fleet.milliCpu(queue.service(), now));
    LiveJob asIf = new LiveJob(s.job(), queue, 0, board.estimates(), now, Instant.MAX);
    if (!Admission.isOfUse(asIf, delay, now)) {
      answer(caller, DeskAnswer.overloaded(Admission.retryAfter(delay)));
      return;
    }
    callers.put(s.job().id(), caller);
    if (!s.job().kept()) {
      board.add(s.job(), queue, now, now.plus(s.patience()));
      return;
    }
    LedgerBatch.Acceptance a =
        new LedgerBatch.Acceptance(s.job(), queue.name(), Math.max(1, queue.mostAttempts()));
    commits.accept(a, at -> accepted(a, queue, now));
  }

  private void accepted(LedgerBatch.Acceptance a, Queue queue, Instant receivedAt) {
    QueuedJobId id = a.job().id();
    if (ledger.live(id) != null) {
      board.add(a.job(), queue, receivedAt, Instant.MAX);
    }
    Caller caller = callers.remove(id);
    if (caller != null) {
      answer(caller, DeskCode.ACCEPTED);
    }
  }

  private DeskAnswer asked(QueueAddress address) {
    QueueConfiguration c = ledger.configuration();
    if (c == null) {
      return DeskAnswer.of(DeskCode.NOT_CONFIGURED);
    }
    Queue queue = c.find(address.host(), address.path());
    if (queue == null) {
      return DeskAnswer.of(DeskCode.NO_SUCH_QUEUE);
    }
    String rest = address.path().substring(queue.pathPrefix().length());
    if (rest.isEmpty()) {
      return DeskAnswer.pending(board.unstarted(queue.name()));
    }
    QueuedJobId id = QueuedJobId.parse(rest);
    JobPhase phase = id == null ? null : phase(id);
    return phase == null
        ? DeskAnswer.of(DeskCode.NO_SUCH_JOB)
        : DeskAnswer.phase(DeskCode.FOUND, phase);
  }

  private @Nullable JobPhase phase(QueuedJobId id) {
    JobPhase end = ledger.endOf(id);
    if (end != null || ledger.live(id) == null) {
      return end;
    }
    LiveJob job = board.find(id);
    return job == null || job.started ? JobPhase.RUNNING : JobPhase.QUEUED;
  }

  private void cancelled(Caller caller, QueueAddress address) {
    int slash = address.path().lastIndexOf('/');
    QueuedJobId id = QueuedJobId.parse(address.path().substring(slash + 1));
    if (id == null || (!ledger.knows(id) && !commits.isAccepting(id) && board.find(id) == null)) {
      answer(caller, DeskCode.NO_SUCH_JOB);
    } else if (ledger.endOf(id) != null) {
      answer(caller, DeskCode.ACCEPTED);
    } else if (ledger.live(id) != null || commits.isAccepting(id)) {
      commits.cancel(
          id,
          at -> {
            drop(id);
            answer(caller, DeskCode.ACCEPTED);
          });
    } else {
      drop(id);
      finish(id, JobPhase.CANCELLED);
      answer(caller, DeskCode.ACCEPTED);
    }
  }

  /** Takes a job off the board and stops what runs of it. */
  private void drop(QueuedJobId id) {
    LiveJob job = board.find(id);
    if (job != null) {
      board.remove(job);
      fleet.workers().forEach(w -> runs.stopRunsOf(job, w));
    }
  }

  private void failed(LiveJob job) {
    drop(job.job.id());
    finish(job.job.id(), JobPhase.FAILED);
  }

  private void completed(LiveJob job) {
    board.remove(job);
    finish(job.job.id(), JobPhase.COMPLETED);
  }

  /** Answers the caller who waits for the end of a job that is not kept. */
  private void finish(QueuedJobId id, JobPhase phase) {
    if (ledger.knows(id)) {
      return;
    }
    recent.add(id, phase);
    Caller caller = callers.remove(id);
    if (caller != null) {
      answer(caller, DeskAnswer.phase(DeskCode.ACCEPTED, phase));
    }
  }

  private void dropAbandoned(Instant now) {
    for (Iterator<LiveJob> i = board.abandoned(now); i.hasNext(); ) {
      LiveJob job = i.next();
      drop(job.job.id());
      callers.remove(job.job.id());
    }
  }

  /** Tells whether no run can exist that this leader does not know of. */
  private boolean isAccounted(Instant now) {
    accounted =
        accounted
            || now.isAfter(beganAt.plus(settings.lapse()))
            || ledger.agents().stream().allMatch(fleet::isAccountedFor);
    return accounted;
  }

  private void forgetAgents(Instant now) {
    if (now.isBefore(beganAt.plus(AGENT_MEMORY))) {
      return;
    }
    Set<NodeId> silent = new HashSet<>(ledger.agents());
    for (WorkerState w : fleet.workers()) {
      if (now.isBefore(w.reportedAt.plus(AGENT_MEMORY))) {
        silent.remove(w.agent);
      }
    }
    silent.removeAll(joining);
    for (NodeId a : silent) {
      if (joining.add(a)) {
        fleet.forget(a);
        commits.forget(a, at -> joining.remove(a));
      }
    }
  }

  private void answer(Caller caller, DeskCode code) {
    answer(caller, DeskAnswer.of(code));
  }

  private void answer(Caller caller, DeskAnswer answer) {
    effects.add(new Send(caller.node(), new LeaderReply(caller.call(), answer)));
  }

  private record Caller(NodeId node, long call) {}
}
