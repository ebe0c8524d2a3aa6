package org.cassiastack.schedule.faults;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.consensus.CommandCommitted;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.SnapshotRestored;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.queue.InMemoryLedgerCodec;
import org.cassiastack.queue.JobLedger;

/** Applies the committed commands of a member to a ledger of its own that tests can read. */
final class LedgerObserver implements Controller {
  private final InMemoryLedgerCodec codec;
  private final JobLedger ledger = JobLedger.create(Duration.ofMinutes(5));
  private long lastIndex;
  private long ledTerm;
  private Instant electedAt = Instant.MIN;

  LedgerObserver(InMemoryLedgerCodec codec) {
    this.codec = codec;
  }

  JobLedger ledger() {
    return ledger;
  }

  /** Returns the log index of the last command that was applied. */
  long lastIndex() {
    return lastIndex;
  }

  /** Returns the last term in which the member was elected leader, or 0. */
  long ledTerm() {
    return ledTerm;
  }

  /** Returns when the member was last elected leader. */
  Instant electedAt() {
    return electedAt;
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    if (event instanceof CommandCommitted c) {
      ledger.apply(codec.decodeBatch(c.command()));
      lastIndex = c.index();
    } else if (event instanceof LeaderChanged l && l.leading()) {
      ledTerm = l.term();
      electedAt = now;
    } else if (event instanceof SnapshotRestored s) {
      ledger.restore(codec.decodeSnapshot(s.state()));
      lastIndex = s.index();
    }
    return List.of();
  }

  @Override
  public Instant nextTickAt(Instant now) {
    return Instant.MAX;
  }
}
