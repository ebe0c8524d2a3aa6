package org.cassiastack.queue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * The state machine on the replicated log: the durable state of jobs and queues that all control
 * members agree on.
 *
 * <ol>
 *   <li>{@link #apply} applies committed batches in order. Members that apply the same batches have
 *       equal ledgers.
 *   <li>A job is accepted once. A later acceptance under a known identity is ignored.
 *   <li>A job is accepted only if the ledger knows its queue when the acceptance is applied,
 *       because changes that follow the admission by the leader may precede the acceptance in the
 *       log. The queue of every live job is therefore known.
 *   <li>A job that was cancelled before it was accepted is refused: for {@link #REFUSAL_RETENTION}
 *       a later acceptance is ignored.
 *   <li>Of an ended job, only the identity and the final phase are held, until the retention has
 *       passed.
 *   <li>Active runs are not part of the ledger. A new leader learns of them from the agents'
 *       reports.
 * </ol>
 *
 * <pre>{@code
 * JobLedger ledger = JobLedger.create(Duration.ofSeconds(150));
 * ledger.apply(batch);
 * JobPhase phase = ledger.finalPhase(id);
 * }</pre>
 *
 * @since 0.2
 */
public final class JobLedger {
  /**
   * How long a refused job is known. A copy of its submission may lie in a paused entry, or on the
   * way behind lost packets, for as long.
   */
  public static final Duration REFUSAL_RETENTION = Duration.ofSeconds(30);

  /** Maximum number of refused jobs that are known; the oldest ones are forgotten first. */
  public static final int MAX_REFUSED_JOBS = 20_000;

  /**
   * Phase of a refused job in a snapshot. Ended jobs have a final phase, and earlier versions can
   * read it.
   */
  private static final JobPhase REFUSED = JobPhase.QUEUED;

  private final Duration retention;
  private final Map<QueuedJobId, LedgerJob> liveJobs = new LinkedHashMap<>();
  private final Map<QueuedJobId, LedgerSnapshot.EndedJob> endedJobs = new LinkedHashMap<>();

  /** When each refused job was refused, in this order. */
  private final Map<QueuedJobId, Instant> refusedJobs = new LinkedHashMap<>();

  private final Set<FailureDomain> domainsOut = new LinkedHashSet<>();
  private final Set<NodeId> agents = new LinkedHashSet<>();
  private Instant lastBatchAt = Instant.EPOCH;
  private long generation;
  private @Nullable QueueConfiguration configuration;

  /**
   * Queues of the configuration in force, by name, because the leader looks up the queue of each
   * step that it places.
   */
  private final Map<String, Queue> declaredQueues = new LinkedHashMap<>();

  /**
   * Queues that the configuration in force no longer declares, but that live jobs use or that the
   * last change removed.
   */
  private final Map<String, Queue> retiredQueues = new LinkedHashMap<>();

  private JobLedger(Duration retention) {
    this.retention = retention;
  }

  /**
   * Creates an empty ledger.
   *
   * @param retention how long the final phase of an ended job can be queried
   */
  public static JobLedger create(Duration retention) {
    return new JobLedger(retention);
  }

  /** Applies a committed batch. */
  public void apply(LedgerBatch batch) {
    lastBatchAt = batch.at().isAfter(lastBatchAt) ? batch.at() : lastBatchAt;
    if (batch.newGeneration()) {
      generation++;
    }
    QueueConfiguration c = batch.configuration();
    if (c != null && c.version() > configurationVersion()) {
      configure(c);
    }
    for (LedgerBatch.DomainSwitch d : batch.domainSwitches()) {
      if (d.out()) {
        domainsOut.add(d.domain());
      } else {
        domainsOut.remove(d.domain());
      }
    }
    agents.addAll(batch.addedAgents());
    batch.removedAgents().forEach(agents::remove);
    for (LedgerBatch.Acceptance a : batch.acceptedJobs()) {
      if (!contains(a.job().id()) && !isRefused(a.job().id()) && isKnown(a.queue())) {
        liveJobs.put(a.job().id(), new LedgerJob(a));
      }
    }
    batch.taskEnds().forEach(this::recordTaskEnd);
    batch.cancelledJobs().forEach(this::cancel);
    evictExpired();
  }

  /** Returns the complete state of this ledger. */
  public LedgerSnapshot snapshot() {
    return new LedgerSnapshot(
        lastBatchAt,
        generation,
        configuration,
        List.copyOf(retiredQueues.values()),
        List.copyOf(domainsOut),
        List.copyOf(agents),
        liveJobs.values().stream().map(LedgerJob::snapshot).toList(),
        endedAndRefusedJobs());
  }

  /**
   * Replaces the complete state of this ledger by that of a snapshot. A live job whose queue the
   * snapshot does not hold is dropped; earlier versions wrote such snapshots.
   */
  public void restore(LedgerSnapshot s) {
    lastBatchAt = s.at();
    generation = s.generation();
    declare(s.configuration());
    retiredQueues.clear();
    s.retiredQueues().forEach(q -> retiredQueues.put(q.name(), q));
    domainsOut.clear();
    domainsOut.addAll(s.domainsOut());
    agents.clear();
    agents.addAll(s.agents());
    liveJobs.clear();
    for (LedgerSnapshot.LiveJob l : s.liveJobs()) {
      if (isKnown(l.acceptance().queue())) {
        liveJobs.put(l.acceptance().job().id(), LedgerJob.restore(l));
      }
    }
    endedJobs.clear();
    refusedJobs.clear();
    for (LedgerSnapshot.EndedJob e : s.endedJobs()) {
      if (e.phase().isFinal()) {
        endedJobs.put(e.id(), e);
      } else {
        refusedJobs.put(e.id(), e.at());
      }
    }
  }

  private List<LedgerSnapshot.EndedJob> endedAndRefusedJobs() {
    List<LedgerSnapshot.EndedJob> jobs = new ArrayList<>(endedJobs.values());
    refusedJobs.forEach((id, at) -> jobs.add(new LedgerSnapshot.EndedJob(id, REFUSED, at)));
    return jobs;
  }

  /** Returns the number of leader generations so far; each new leader begins a generation. */
  public long generation() {
    return generation;
  }

  /** Returns the configuration in force, or null before the first configuration. */
  public @Nullable QueueConfiguration configuration() {
    return configuration;
  }

  /**
   * Returns the queue of a live job as the configuration in force declares the queue or, if that
   * configuration does not declare it, as the last configuration that did.
   */
  public Queue queueOf(LedgerJob job) {
    Queue declaredQueue = declaredQueues.get(job.queue());
    return Objects.requireNonNull(
        declaredQueue == null ? retiredQueues.get(job.queue()) : declaredQueue);
  }

  /**
   * Returns the service of a queue in the configuration in force. If that configuration does not
   * declare the queue, the result is the service of the given declaration.
   */
  public ServiceName serviceOf(Queue queue) {
    return declaredQueues.getOrDefault(queue.name(), queue).service();
  }

  /** Returns the version of the configuration in force, or -1 before the first configuration. */
  public long configurationVersion() {
    return configuration == null ? -1 : configuration.version();
  }

  /**
   * Returns whether a failure domain is out of service. The leader starts no task in such a domain.
   */
  public boolean isOutOfService(FailureDomain domain) {
    return domainsOut.contains(domain);
  }

  /** Returns the failure domains that are out of service. */
  public Set<FailureDomain> domainsOut() {
    return Collections.unmodifiableSet(domainsOut);
  }

  /** Returns the agents to which a leader may grant leases. */
  public Set<NodeId> agents() {
    return Collections.unmodifiableSet(agents);
  }

  /** Returns the jobs that have not ended, in the order of their acceptance. */
  public Collection<LedgerJob> live() {
    return Collections.unmodifiableCollection(liveJobs.values());
  }

  /** Returns a job that has not ended, or null if the job has ended or is unknown. */
  public @Nullable LedgerJob live(QueuedJobId id) {
    return liveJobs.get(id);
  }

  /** Returns the phase in which a job ended, or null if it has not ended or is unknown. */
  public @Nullable JobPhase finalPhase(QueuedJobId id) {
    LedgerSnapshot.EndedJob e = endedJobs.get(id);
    return e == null ? null : e.phase();
  }

  /** Returns whether a job was accepted and has not been evicted since its end. */
  public boolean contains(QueuedJobId id) {
    return liveJobs.containsKey(id) || endedJobs.containsKey(id);
  }

  /** Returns whether a job was refused a short time ago and will not be accepted. */
  public boolean isRefused(QueuedJobId id) {
    return refusedJobs.containsKey(id);
  }

  private boolean isKnown(String queue) {
    return declaredQueues.containsKey(queue) || retiredQueues.containsKey(queue);
  }

  private void configure(QueueConfiguration next) {
    Set<String> used = new HashSet<>();
    liveJobs.values().forEach(j -> used.add(j.queue()));
    // Queues that this change removes are retained without live jobs too, so that most jobs that
    // were admitted before the change and follow it in the log are accepted.
    used.addAll(declaredQueues.keySet());
    retiredQueues.putAll(declaredQueues);
    declare(next);
    retiredQueues.keySet().removeAll(declaredQueues.keySet());
    retiredQueues.keySet().retainAll(used);
  }

  private void declare(@Nullable QueueConfiguration next) {
    configuration = next;
    declaredQueues.clear();
    if (next != null) {
      next.queues().forEach(q -> declaredQueues.put(q.name(), q));
    }
  }

  private void recordTaskEnd(LedgerBatch.TaskEnd e) {
    LedgerJob job = liveJobs.get(e.task().job());
    if (job == null || !job.hasTask(e.task())) {
      return;
    }
    JobPhase phase = job.recordTaskEnd(e.task(), e.run(), e.succeeded());
    if (phase.isFinal()) {
      endJob(e.task().job(), phase);
    }
  }

  private void cancel(QueuedJobId id) {
    if (contains(id)) {
      endJob(id, JobPhase.CANCELLED);
    } else {
      refusedJobs.putIfAbsent(id, lastBatchAt);
    }
  }

  private void endJob(QueuedJobId id, JobPhase phase) {
    if (liveJobs.remove(id) != null) {
      endedJobs.put(id, new LedgerSnapshot.EndedJob(id, phase, lastBatchAt));
    }
  }

  private void evictExpired() {
    Instant cutoff = lastBatchAt.minus(retention);
    List<QueuedJobId> expired = new ArrayList<>();
    for (LedgerSnapshot.EndedJob e : endedJobs.values()) {
      // Entries are in the order of their end times, so all later entries are newer.
      if (!e.at().isBefore(cutoff)) {
        break;
      }
      expired.add(e.id());
    }
    expired.forEach(endedJobs::remove);
    evictExpiredRefusals();
  }

  private void evictExpiredRefusals() {
    Instant cutoff = lastBatchAt.minus(REFUSAL_RETENTION);
    Iterator<Instant> refusals = refusedJobs.values().iterator();
    while (refusals.hasNext()) {
      boolean expired = refusals.next().isBefore(cutoff);
      if (!expired && refusedJobs.size() <= MAX_REFUSED_JOBS) {
        break;
      }
      refusals.remove();
    }
  }
}
