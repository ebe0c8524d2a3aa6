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
 * Gathers changes of the ledger and proposes them together, so that one sync of the disks covers
 * all that came during the sync before.
 */
final class PendingCommits {
  /** Proposals under way at a time: one being synced and one on its way keep the disks busy. */
  private static final int MOST_UNDER_WAY = 2;

  private final LedgerCodec codec;
  private final Supplier<UUID> identities;
  private final Map<UUID, List<Consumer<Instant>>> underWay = new HashMap<>();
  private final Set<QueuedJobId> accepting = new HashSet<>();
  private List<Consumer<Instant>> completions = new ArrayList<>();
  private List<LedgerBatch.DomainSwitch> domains = new ArrayList<>();
  private List<NodeId> agents = new ArrayList<>();
  private List<NodeId> forgotten = new ArrayList<>();
  private List<LedgerBatch.Acceptance> accepted = new ArrayList<>();
  private List<LedgerBatch.TaskEnd> ends = new ArrayList<>();
  private List<QueuedJobId> cancelled = new ArrayList<>();
  private @Nullable QueueConfiguration addConfiguration;
  private boolean addNewGeneration;

  PendingCommits(LedgerCodec codec, Supplier<UUID> identities) {
    this.codec = codec;
    this.identities = identities;
  }

  void addNewGeneration(Consumer<Instant> completion) {
    addNewGeneration = true;
    completions.add(completion);
  }

  void addConfiguration(QueueConfiguration c, Consumer<Instant> completion) {
    if (addConfiguration == null || addConfiguration.version() < c.version()) {
      addConfiguration = c;
    }
    completions.add(completion);
  }

  void addDomainSwitch(LedgerBatch.DomainSwitch change, Consumer<Instant> completion) {
    domains.add(change);
    completions.add(completion);
  }

  void addAgent(NodeId agent, Consumer<Instant> completion) {
    agents.add(agent);
    completions.add(completion);
  }

  void removeAgent(NodeId agent, Consumer<Instant> completion) {
    forgotten.add(agent);
    completions.add(completion);
  }

  /** Tells whether a job waits to be accepted. */
  boolean isAccepting(QueuedJobId id) {
    return accepting.contains(id);
  }

  void addJob(LedgerBatch.Acceptance a, Consumer<Instant> completion) {
    QueuedJobId id = a.job().id();
    accepting.add(id);
    accepted.add(a);
    completions.add(
        now -> {
          accepting.remove(id);
          completion.accept(now);
        });
  }

  void addTaskEnd(LedgerBatch.TaskEnd end, Consumer<Instant> completion) {
    ends.add(end);
    completions.add(completion);
  }

  void addCancellation(QueuedJobId id, Consumer<Instant> completion) {
    cancelled.add(id);
    completions.add(completion);
  }

  /** Runs what waited for a proposal of this term. */
  void onCommitted(UUID proposal, Instant now) {
    List<Consumer<Instant>> done = underWay.remove(proposal);
    if (done != null) {
      done.forEach(c -> c.accept(now));
    }
  }

  /** Proposes what has gathered, unless enough is under way. */
  void propose(Instant now, List<Effect> effects) {
    if (underWay.size() >= MOST_UNDER_WAY || completions.isEmpty()) {
      return;
    }
    LedgerBatch batch =
        new LedgerBatch(
            now,
            addNewGeneration,
            addConfiguration,
            domains,
            agents,
            forgotten,
            accepted,
            ends,
            cancelled);
    UUID identity = identities.get();
    underWay.put(identity, completions);
    effects.add(new Raise(new ProposeCommand(identity, codec.encode(batch))));
    clear();
  }

  private void clear() {
    completions = new ArrayList<>();
    domains = new ArrayList<>();
    agents = new ArrayList<>();
    forgotten = new ArrayList<>();
    accepted = new ArrayList<>();
    ends = new ArrayList<>();
    cancelled = new ArrayList<>();
    addConfiguration = null;
    addNewGeneration = false;
  }
}
