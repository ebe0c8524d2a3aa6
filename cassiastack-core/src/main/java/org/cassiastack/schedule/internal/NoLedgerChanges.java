package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.function.Consumer;
import org.cassiastack.queue.LedgerBatch;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJobId;

/**
 * Drops all changes, for a dispatcher that has no replicated log. Such a dispatcher takes neither
 * durable jobs nor orders of operators, so it asks for no change.
 */
final class NoLedgerChanges implements LedgerChanges {
  @Override
  public boolean isAccepting(QueuedJobId id) {
    return false;
  }

  @Override
  public boolean isRefusing(QueuedJobId id) {
    return false;
  }

  @Override
  public void addJob(LedgerBatch.Acceptance a, Consumer<Instant> completion) {}

  @Override
  public void addRefusal(QueuedJobId id, Consumer<Instant> completion) {}

  @Override
  public void addTaskEnd(LedgerBatch.TaskEnd end, Consumer<Instant> completion) {}

  @Override
  public void addCancellation(QueuedJobId id, Consumer<Instant> completion) {}

  @Override
  public void addConfiguration(QueueConfiguration c, Consumer<Instant> completion) {}

  @Override
  public void addDomainSwitch(LedgerBatch.DomainSwitch change, Consumer<Instant> completion) {}
}
