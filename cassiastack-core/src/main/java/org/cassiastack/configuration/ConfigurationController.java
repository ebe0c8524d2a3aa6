package org.cassiastack.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.cassiastack.consensus.CommandCommitted;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.ProposalRefused;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.consensus.SnapshotRequested;
import org.cassiastack.consensus.SnapshotRestored;
import org.cassiastack.consensus.SnapshotTaken;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;

/**
 * Submits operators' changes to the replicated log of the control members and reports the outcome.
 *
 * <ol>
 *   <li>A request becomes a proposal; the change is decided once the log has committed the
 *       proposal.
 *   <li>A member that is not the leader answers {@link ResultCode#NO_LEADER}: nothing was proposed.
 *   <li>A member that loses leadership, or for which the commit takes longer than {@link
 *       #COMMIT_TIMEOUT}, answers {@link ResultCode#CHANGE_UNRESOLVED}. A later request with the
 *       same change id returns the outcome.
 *   <li>Each accepted change raises {@link ConfigurationChanged}.
 * </ol>
 *
 * @since 0.1
 */
public final class ConfigurationController implements Controller {
  /** Maximum time to wait for the log to commit a proposal. */
  public static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(5);

  private final ConfigurationCodec codec;
  private final ConfigurationStore store;
  private final Map<UUID, Instant> deadlines = new LinkedHashMap<>();

  private ConfigurationController(ConfigurationCodec codec, ConfigurationStore store) {
    this.codec = codec;
    this.store = store;
  }

  /** Creates a controller with an empty configuration in force. */
  public static ConfigurationController create(ConfigurationCodec codec) {
    return new ConfigurationController(codec, ConfigurationStore.create());
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    if (event instanceof ApplyRequested r) {
      return propose(r, now);
    }
    if (event instanceof CommandCommitted c) {
      return onCommitted(c);
    }
    if (event instanceof ProposalRefused r) {
      return answer(r.proposalId(), ResultCode.NO_LEADER);
    }
    if (event instanceof LeaderChanged l && !l.leading()) {
      return answerUnresolved(Instant.MAX);
    }
    if (event instanceof SnapshotRequested w) {
      return List.of(new Raise(new SnapshotTaken(w.index(), codec.encodeState(store.state()))));
    }
    if (event instanceof SnapshotRestored r) {
      return onRestored(r);
    }
    return event instanceof Tick ? answerUnresolved(now) : List.of();
  }

  private List<Effect> propose(ApplyRequested r, Instant now) {
    deadlines.put(r.requestId(), now.plus(COMMIT_TIMEOUT));
    ConfigurationCommand command = new ConfigurationCommand(r.changeId(), r.base(), r.content());
    return List.of(new Raise(new ProposeCommand(r.requestId(), codec.encodeCommand(command))));
  }

  private List<Effect> onCommitted(CommandCommitted c) {
    ConfigurationCommand command = codec.decodeCommand(c.command());
    if (command == null) {
      return List.of();
    }
    Revision before = store.inForce().revision();
    ApplyResult result = store.apply(command);
    List<Effect> effects = new ArrayList<>();
    if (before.isBefore(store.inForce().revision())) {
      effects.add(new Raise(new ConfigurationChanged(store.inForce())));
    }
    if (deadlines.remove(c.proposalId()) != null) {
      effects.add(new Raise(new ApplyAnswered(c.proposalId(), result)));
    }
    return effects;
  }

  private List<Effect> onRestored(SnapshotRestored r) {
    store.restore(codec.decodeState(r.state()));
    return List.of(new Raise(new ConfigurationChanged(store.inForce())));
  }

  private List<Effect> answerUnresolved(Instant latestDeadline) {
    List<Effect> effects = new ArrayList<>();
    for (Map.Entry<UUID, Instant> e : List.copyOf(deadlines.entrySet())) {
      if (!e.getValue().isAfter(latestDeadline)) {
        effects.addAll(answer(e.getKey(), ResultCode.CHANGE_UNRESOLVED));
      }
    }
    return effects;
  }

  private List<Effect> answer(UUID requestId, ResultCode code) {
    if (deadlines.remove(requestId) == null) {
      return List.of();
    }
    ApplyResult result = new ApplyResult(code, store.inForce().revision());
    return List.of(new Raise(new ApplyAnswered(requestId, result)));
  }
}
