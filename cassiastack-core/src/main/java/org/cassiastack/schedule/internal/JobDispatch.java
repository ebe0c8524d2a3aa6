package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cassiastack.controller.Effect;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.request.AwaitedJobs;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.schedule.ScheduleSettings;

/**
 * Dispatch of jobs under one fence: jobs, workers, placement and the answers to callers. The leader
 * and the fallback dispatchers use it with ledgers of their own and decide when it may place tasks.
 */
final class JobDispatch {
  final LiveJobs liveJobs = new LiveJobs();
  final Fleet fleet;
  final HeldJobs held;
  final LeaderRequestHandler requests;
  private final CallerProber prober = new CallerProber();
  private final CallerLeases callerLeases;
  private final WithheldLeases withheldLeases;
  private final WaitingCallers callers;
  private final long fence;
  private final RunEventHandler runEvents;
  private final Dispatcher dispatcher;
  private List<Effect> effects = new ArrayList<>();

  /**
   * Creates a dispatch without jobs and workers.
   *
   * @param fence fence of the leases and orders
   * @param replyTerm term in the answers to callers
   * @param changes changes of stored state
   * @param capacityKnown returns whether the workers known are all that there are
   */
  JobDispatch(
      long fence,
      long replyTerm,
      JobLedger ledger,
      ScheduleSettings settings,
      LedgerChanges changes,
      BooleanSupplier capacityKnown) {
    this.fence = fence;
    Consumer<Decision> decisions = d -> effects.add(d);
    this.runEvents =
        new RunEventHandler(
            liveJobs,
            changes,
            decisions,
            this::jobEnded,
            id -> ledger.live(id) != null,
            this::medianSpeed);
    this.fleet = new Fleet(settings, runEvents);
    this.callerLeases = CallerLeases.of(settings, ledger::contains);
    this.withheldLeases = new WithheldLeases(fence, decisions);
    this.held = new HeldJobs(settings.leaseExpiryTimeout(), decisions);
    StoppedJobs stopped = new StoppedJobs(liveJobs, held, fleet);
    this.callers = new WaitingCallers(liveJobs, stopped, callerLeases, decisions);
    this.requests =
        new LeaderRequestHandler(
            fence,
            replyTerm,
            ledger,
            liveJobs,
            held,
            fleet,
            changes,
            decisions,
            (to, reply) -> effects.add(new Send(to, reply)),
            capacityKnown,
            settings.fallback(),
            stopped,
            callers);
    this.dispatcher =
        new Dispatcher(
            liveJobs,
            fleet,
            ledger,
            decisions,
            FastestFit.withRemoteFactor(settings.remoteFactor()),
            callerLeases);
  }

  void addEffect(Effect effect) {
    effects.add(effect);
  }

  void addDecision(String event, Object subject, String outcome, String inputs) {
    effects.add(Decision.of(event, subject, outcome, inputs));
  }

  /** Returns the effects since the last call. */
  List<Effect> takeEffects() {
    List<Effect> collected = effects;
    effects = new ArrayList<>();
    return collected;
  }

  /**
   * Performs the actions that depend on time.
   *
   * @param mayPlace whether tasks may be moved to other workers
   * @param stopsUnknownRuns whether runs of unknown jobs are stopped
   */
  void tick(boolean mayPlace, boolean stopsUnknownRuns, Instant now) {
    fleet.tick(now);
    liveJobs.ready.updateLateness(now);
    // A worker may have become usable by the passing of time alone.
    dispatcher.forceNextRound();
    requests.tick(now);
    if (mayPlace) {
      dispatcher.moveStalledRuns(now);
    }
    for (WorkerState w : fleet.workers()) {
      runEvents.reportSlowness(w);
      runEvents.stopUnwantedRuns(w, stopsUnknownRuns, now);
      dispatcher.probeLostOrders(w, fence, now, effects);
    }
    effects.add(dispatcher.takeStats());
  }

  /**
   * Handles a request of a process, and asks the process at once which callers wait if it has
   * submitted a job that cannot start otherwise.
   */
  void onRequest(NodeId from, LeaderRequest request, Instant now) {
    LiveJob job = requests.handle(from, request, now);
    if (job != null && job.confirmedAt != null) {
      prober.onSubmitted(from, callerLeases.mayStart(job, now), now, effects);
    }
  }

  /** Handles the answer to a probe. */
  void onAwaitedJobs(NodeId from, AwaitedJobs answer, Instant now) {
    if (callers.onConfirmed(from, answer, now)) {
      dispatcher.forceNextRound();
    }
  }

  /** Asks the entries that submit jobs, and others, which callers wait, if that is due. */
  void probeCallers(Collection<NodeId> others, Instant now) {
    prober.probeAll(others, now, effects);
  }

  /** Returns the number of callers that wait for an answer. */
  int waitingCallers() {
    return callers.count();
  }

  /** Gives up the jobs that are not durable and whose ends a process waits for. */
  void giveUpAllOf(NodeId node, Instant now) {
    callers.giveUpAllOf(node, now);
  }

  /** Sends no probes to a process any more until it connects again. */
  void onDisconnected(NodeId peer) {
    prober.onDisconnected(peer);
  }

  /**
   * Grants the agent of a worker the lease that its last report asked for. A report without a
   * minion, of an agent that has restarted, gets a lease that has expired: the fleet counts the
   * lease of the worker's runs from the last report with a minion.
   */
  void grantLease(NodeId agent, WorkerState w, AgentReport report, Instant now) {
    MinionProfile m = w.minion;
    MinionIncarnation incarnation = m == null ? null : m.life();
    Duration lease =
        report.minion() == null ? Duration.ZERO : callerLeases.agentLease(w, report, fence, now);
    withheldLeases.onLease(agent, report, lease);
    effects.add(
        new Send(
            agent,
            new AgentLease(fence, report.sentAt(), lease, incarnation, w.acknowledgedThrough())));
  }

  /** Puts the steps of jobs that are held no longer into the ready queue. */
  void release(List<LiveJob> released) {
    released.forEach(liveJobs::queueReadySteps);
  }

  /**
   * Places waiting tasks.
   *
   * @param firstRun lowest number of new runs
   */
  void place(long firstRun, Instant now) {
    dispatcher.place(firstRun, now);
  }

  /** Sends the pending orders of all workers. */
  void sendOrders(Instant now) {
    for (WorkerState w : fleet.workers()) {
      dispatcher.sendOrders(w, fence, now, effects);
    }
  }

  /**
   * Asks the agents for their run lists if jobs wait for lists that are made after their arrival.
   */
  void requestLists(Instant now) {
    Instant arrival = held.lastArrival();
    if (arrival != null) {
      fleet.workers().forEach(w -> dispatcher.requestLists(w, fence, arrival, now, effects));
    }
  }

  private double medianSpeed(ServiceName service) {
    return fleet.medianSpeed(service);
  }

  private void jobEnded(LiveJob job, JobPhase phase, Instant now) {
    requests.jobEnded(job, phase, now);
  }
}
