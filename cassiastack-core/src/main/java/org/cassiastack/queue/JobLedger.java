package org.cassiastack.queue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
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
 * What every control member knows for certain: the state machine on the replicated log.
 *
 * <ol>
 *   <li>{@link #apply} takes committed batches in order; equal batches give equal ledgers.
 *   <li>A job is accepted once; an identity that is known stays the job that it was.
 *   <li>Ended jobs are kept as identity and phase alone, and forgotten after the retention.
 *   <li>Runs of tasks are not in it: a new leader asks the agents for them.
 * </ol>
 *
 * <pre>{@code
 * JobLedger ledger = JobLedger.create(Duration.ofSeconds(150));
 * ledger.apply(batch);
 * JobPhase phase = ledger.phase(id);
 * }</pre>
 *
 * @since 0.2
 */
public final class JobLedger {
  private final Duration retention;
  private final Map<QueuedJobId, LedgerJob> live = new LinkedHashMap<>();
  private final Map<QueuedJobId, LedgerSnapshot.EndedJob> ended = new LinkedHashMap<>();
  private final Set<FailureDomain> domainsOut = new LinkedHashSet<>();
  private final Set<NodeId> agents = new LinkedHashSet<>();
  private Instant at = Instant.EPOCH;
  private long generation;
  private @Nullable QueueConfiguration configuration;

  /** Queues of the configuration by name; the leader looks them up for each step that it places. */
  private final Map<String, Queue> declared = new LinkedHashMap<>();

  /** Queues that are no longer declared, while jobs of theirs are live. */
  private final Map<String, Queue> retired = new LinkedHashMap<>();

  private JobLedger(Duration retention) {
    this.retention = retention;
  }

  /**
   * Makes an empty ledger.
   *
   * @param retention how long an ended job can be asked for
   */
  public static JobLedger create(Duration retention) {
    return new JobLedger(retention);
  }

  /** Takes a committed batch. */
  public void apply(LedgerBatch batch) {
    at = batch.at().isAfter(at) ? batch.at() : at;
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
      if (!contains(a.job().id())) {
        live.put(a.job().id(), new LedgerJob(a));
      }
    }
    batch.taskEnds().forEach(this::taskEnded);
    batch.cancelledJobs().forEach(id -> end(id, JobPhase.CANCELLED));
    forget();
  }

  /** Returns the whole state. */
  public LedgerSnapshot snapshot() {
    return new LedgerSnapshot(
        at,
        generation,
        configuration,
        List.copyOf(retired.values()),
        List.copyOf(domainsOut),
        List.copyOf(agents),
        live.values().stream().map(LedgerJob::snapshot).toList(),
        List.copyOf(ended.values()));
  }

  /** Takes over a state in place of the present one. */
  public void restore(LedgerSnapshot s) {
    at = s.at();
    generation = s.generation();
    declare(s.configuration());
    retired.clear();
    s.retiredQueues().forEach(q -> retired.put(q.name(), q));
    domainsOut.clear();
    domainsOut.addAll(s.domainsOut());
    agents.clear();
    agents.addAll(s.agents());
    live.clear();
    s.liveJobs().forEach(l -> live.put(l.acceptance().job().id(), LedgerJob.restore(l)));
    ended.clear();
    s.endedJobs().forEach(e -> ended.put(e.id(), e));
  }

  /** Returns the number of leaders so far. */
  public long generation() {
    return generation;
  }

  /** Returns the configuration in force, or null before the first. */
  public @Nullable QueueConfiguration configuration() {
    return configuration;
  }

  /** Returns the queue of a live job, as declared now or, if it was removed, as declared last. */
  public Queue queueOf(LedgerJob job) {
    Queue now = declared.get(job.queue());
    return Objects.requireNonNull(now == null ? retired.get(job.queue()) : now);
  }

  /** Returns the service that a queue is sent to now. */
  public ServiceName serviceOf(Queue queue) {
    return declared.getOrDefault(queue.name(), queue).service();
  }

  /** Returns the version in force, or -1 before the first. */
  public long configurationVersion() {
    return configuration == null ? -1 : configuration.version();
  }

  /** Tells whether nothing may start in a failure domain. */
  public boolean isOut(FailureDomain domain) {
    return domainsOut.contains(domain);
  }

  /** Returns the agents that may hold leases. */
  public Set<NodeId> agents() {
    return Collections.unmodifiableSet(agents);
  }

  /** Returns the jobs that have not ended, oldest first. */
  public Collection<LedgerJob> live() {
    return Collections.unmodifiableCollection(live.values());
  }

  /** Returns a job that has not ended, or null. */
  public @Nullable LedgerJob live(QueuedJobId id) {
    return live.get(id);
  }

  /** Returns how a job ended, or null when it has not ended or is unknown. */
  public @Nullable JobPhase finalPhase(QueuedJobId id) {
    LedgerSnapshot.EndedJob e = ended.get(id);
    return e == null ? null : e.phase();
  }

  /** Tells whether a job was accepted and is not forgotten yet. */
  public boolean contains(QueuedJobId id) {
    return live.containsKey(id) || ended.containsKey(id);
  }

  private void configure(QueueConfiguration next) {
    Set<String> used = new HashSet<>();
    live.values().forEach(j -> used.add(j.queue()));
    // Also kept while unused: a job of such a queue may be behind this change in the log.
    used.addAll(declared.keySet());
    retired.putAll(declared);
    declare(next);
    retired.keySet().removeAll(declared.keySet());
    retired.keySet().retainAll(used);
  }

  private void declare(@Nullable QueueConfiguration next) {
    configuration = next;
    declared.clear();
    if (next != null) {
      next.queues().forEach(q -> declared.put(q.name(), q));
    }
  }

  private void taskEnded(LedgerBatch.TaskEnd e) {
    LedgerJob job = live.get(e.task().job());
    if (job == null || !job.hasTask(e.task())) {
      return;
    }
    JobPhase phase = job.recordTaskEnd(e.task(), e.run(), e.succeeded());
    if (phase.isFinal()) {
      end(e.task().job(), phase);
    }
  }

  private void end(QueuedJobId id, JobPhase phase) {
    if (live.remove(id) != null) {
      ended.put(id, new LedgerSnapshot.EndedJob(id, phase, at));
    }
  }

  private void forget() {
    Instant oldest = at.minus(retention);
    List<QueuedJobId> old = new ArrayList<>();
    for (LedgerSnapshot.EndedJob e : ended.values()) {
      // Jobs end in the order of their times, so the rest is younger.
      if (!e.at().isBefore(oldest)) {
        break;
      }
      old.add(e.id());
    }
    old.forEach(ended::remove);
  }
}
