package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Raise;
import org.cassiastack.model.NodeId;
import org.cassiastack.queue.LedgerBatch;
import org.cassiastack.queue.LedgerCodec;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJobId;
import org.jspecify.annotations.Nullable;

/**
 * Collects changes of the ledger and proposes them in batches, so that one disk sync covers all
 * changes that arrived during the previous sync.
 *
 * <p>Each change comes with a completion: a callback that is called when the change is committed.
 */
final class PendingCommits implements LedgerChanges {
  /**
   * Maximum proposals in flight: one that is being synced and one in transit keep the disks busy.
   */
  private static final int MAX_IN_FLIGHT = 2;

  private final LedgerCodec codec;
  private final Supplier<UUID> proposalIds;
  private final Map<UUID, List<Consumer<Instant>>> inFlight = new HashMap<>();
  private final Set<QueuedJobId> jobsBeingAccepted = new HashSet<>();
  private final Set<QueuedJobId> jobsBeingRefused = new HashSet<>();
  private List<Consumer<Instant>> completions = new ArrayList<>();
  private List<LedgerBatch.DomainSwitch> domainSwitches = new ArrayList<>();
  private List<NodeId> addedAgents = new ArrayList<>();
  private List<NodeId> removedAgents = new ArrayList<>();
  private List<LedgerBatch.Acceptance> acceptedJobs = new ArrayList<>();
  private List<LedgerBatch.TaskEnd> taskEnds = new ArrayList<>();
  private List<QueuedJobId> cancelledJobs = new ArrayList<>();
  private @Nullable QueueConfiguration configuration;
  private boolean newGeneration;

  PendingCommits(LedgerCodec codec, Supplier<UUID> proposalIds) {
    this.codec = codec;
    this.proposalIds = proposalIds;
  }

  void addNewGeneration(Consumer<Instant> completion) {
    newGeneration = true;
    completions.add(completion);
  }

  @Override
  public void addConfiguration(QueueConfiguration c, Consumer<Instant> completion) {
    if (configuration == null || configuration.version() < c.version()) {
      configuration = c;
    }
    completions.add(completion);
  }

  @Override
  public void addDomainSwitch(LedgerBatch.DomainSwitch change, Consumer<Instant> completion) {
    domainSwitches.add(change);
    completions.add(completion);
  }

  void addAgent(NodeId agent, Consumer<Instant> completion) {
    addedAgents.add(agent);
    completions.add(completion);
  }

  void removeAgent(NodeId agent, Consumer<Instant> completion) {
    removedAgents.add(agent);
    completions.add(completion);
  }

  @Override
  public boolean isAccepting(QueuedJobId id) {
    return jobsBeingAccepted.contains(id);
  }

  @Override
  public void addJob(LedgerBatch.Acceptance a, Consumer<Instant> completion) {
    QueuedJobId id = a.job().id();
    jobsBeingAccepted.add(id);
    acceptedJobs.add(a);
    completions.add(
        now -> {
          jobsBeingAccepted.remove(id);
          completion.accept(now);
        });
  }

  @Override
  public boolean isRefusing(QueuedJobId id) {
    return jobsBeingRefused.contains(id);
  }

  @Override
  public void addRefusal(QueuedJobId id, Consumer<Instant> completion) {
    jobsBeingRefused.add(id);
    cancelledJobs.add(id);
    completions.add(
        now -> {
          jobsBeingRefused.remove(id);
          completion.accept(now);
        });
  }

  @Override
  public void addTaskEnd(LedgerBatch.TaskEnd end, Consumer<Instant> completion) {
    taskEnds.add(end);
    completions.add(completion);
  }

  @Override
  public void addCancellation(QueuedJobId id, Consumer<Instant> completion) {
    cancelledJobs.add(id);
    completions.add(completion);
  }

  /** Calls the completions of a committed proposal; proposals of other terms are ignored. */
  void onCommitted(UUID proposalId, Instant now) {
    List<Consumer<Instant>> waiting = inFlight.remove(proposalId);
    if (waiting != null) {
      waiting.forEach(c -> c.accept(now));
    }
  }

  /** Proposes the collected changes, unless the maximum number of proposals is in flight. */
  void propose(Instant now, List<Effect> effects) {
    if (inFlight.size() >= MAX_IN_FLIGHT || completions.isEmpty()) {
      return;
    }
    LedgerBatch batch =
        new LedgerBatch(
            now,
            newGeneration,
            configuration,
            domainSwitches,
            addedAgents,
            removedAgents,
            acceptedJobs,
            taskEnds,
            cancelledJobs);
    UUID proposalId = proposalIds.get();
    inFlight.put(proposalId, completions);
    effects.add(new Raise(new ProposeCommand(proposalId, codec.encode(batch))));
    clear();
  }

  private void clear() {
    completions = new ArrayList<>();
    domainSwitches = new ArrayList<>();
    addedAgents = new ArrayList<>();
    removedAgents = new ArrayList<>();
    acceptedJobs = new ArrayList<>();
    taskEnds = new ArrayList<>();
    cancelledJobs = new ArrayList<>();
    configuration = null;
    newGeneration = false;
  }
}
