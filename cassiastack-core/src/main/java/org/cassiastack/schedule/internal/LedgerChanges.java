package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.function.Consumer;
import org.cassiastack.queue.LedgerBatch;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJobId;

/**
 * Changes of stored state that the dispatch of jobs asks for. Each change comes with a completion:
 * a callback that is called when the change is committed.
 */
interface LedgerChanges {
  /** Returns whether the acceptance of a job is pending. */
  boolean isAccepting(QueuedJobId id);

  /** Returns whether the refusal of a job is pending. */
  boolean isRefusing(QueuedJobId id);

  void addJob(LedgerBatch.Acceptance a, Consumer<Instant> completion);

  /** Records that a job that is not in the ledger must not be accepted later. */
  void addRefusal(QueuedJobId id, Consumer<Instant> completion);

  void addTaskEnd(LedgerBatch.TaskEnd end, Consumer<Instant> completion);

  void addCancellation(QueuedJobId id, Consumer<Instant> completion);

  void addConfiguration(QueueConfiguration c, Consumer<Instant> completion);

  void addDomainSwitch(LedgerBatch.DomainSwitch change, Consumer<Instant> completion);
}
