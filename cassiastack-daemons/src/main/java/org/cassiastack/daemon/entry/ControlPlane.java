package org.cassiastack.daemon.entry;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.cassiastack.configuration.ApplyAnswered;
import org.cassiastack.configuration.ApplyRequested;
import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.configuration.ConfigurationController;
import org.cassiastack.consensus.JoinRequest;
import org.cassiastack.consensus.MemberGreeting;
import org.cassiastack.consensus.Persist;
import org.cassiastack.consensus.RaftMessage;
import org.cassiastack.consensus.RaftSettings;
import org.cassiastack.consensus.SingleMemberLog;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.ControllerLoop;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.EffectHandler;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.control.LeaderFreshnessController;
import org.cassiastack.daemon.control.RaftDriver;
import org.cassiastack.daemon.settings.ConfigurationFiles;
import org.cassiastack.daemon.settings.ConfigurationText;
import org.cassiastack.daemon.settings.EntrySettings;
import org.cassiastack.membership.MembershipController;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.cassiastack.propagation.ApplyRouter;
import org.cassiastack.propagation.ApplySubmitted;
import org.cassiastack.propagation.AskConfiguration;
import org.cassiastack.propagation.ConfigurationAge;
import org.cassiastack.propagation.ConfigurationUpdate;
import org.cassiastack.propagation.ForwardApply;
import org.cassiastack.propagation.ForwardedApply;
import org.cassiastack.propagation.FreshnessController;
import org.cassiastack.protocol.Announce;
import org.cassiastack.protocol.Message;
import org.cassiastack.transport.codec.MessagePackConfigurationCodec;
import org.cassiastack.transport.http.ChangeRequest;
import org.cassiastack.transport.http.ConfigurationOperations;
import org.cassiastack.transport.http.ConfigurationView;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * The control plane of an entry. Its controllers run on the control loop; they track the connected
 * agents, replicate the configuration and determine how recently the configuration was confirmed as
 * current.
 */
final class ControlPlane implements ConfigurationOperations, AutoCloseable {
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration BOOTSTRAP_RETRY_DELAY = Duration.ofMillis(200);

  private final NodeId self;
  private final boolean isControlMember;
  private final @Nullable RaftDriver raft;
  private final EffectHandler effectHandler;
  private final ControllerLoop loop;
  private final ConfigurationHistory history = new ConfigurationHistory();
  private final Map<UUID, MonoSink<ApplyResult>> pendingChanges = new ConcurrentHashMap<>();

  private ControlPlane(EntrySettings settings, EffectHandler effectHandler, TimeSource time)
      throws CassiaException {
    this.self = settings.node();
    this.effectHandler = effectHandler;
    Predicate<NodeId> isMember = settings.memberNames()::contains;
    this.isControlMember = isMember.test(self);
    this.raft = openRaft(settings);
    List<Controller> controllers = new ArrayList<>(logControllers(settings));
    controllers.add(MembershipController.create(self, settings.agentLease()));
    controllers.add(FreshnessController.create(isMember));
    controllers.add(ApplyRouter.create(self, isMember));
    if (isControlMember) {
      controllers.add(ConfigurationController.create(MessagePackConfigurationCodec.create()));
    }
    loop =
        ControllerLoop.start(
            "control",
            controllers,
            this::perform,
            time,
            e -> Logger.error(e, "event=controller_failed loop=control"));
  }

  /**
   * Creates a control plane. Its storage and its ticks begin with {@link #start}.
   *
   * @param effectHandler performs the effects that the control plane does not perform itself, such
   *     as sending messages and passing on changes of the available minions
   */
  static ControlPlane create(EntrySettings settings, EffectHandler effectHandler, TimeSource time)
      throws CassiaException {
    return new ControlPlane(settings, effectHandler, time);
  }

  /**
   * Starts the storage and the ticks. A control member also submits the bootstrap configuration,
   * which is accepted only if no configuration is in force yet, and submits it again while there is
   * no leader or while the outcome is not known.
   *
   * @param bootstrap configuration for a system without one, such as a trial system, or null
   */
  void start(@Nullable Configuration bootstrap) {
    if (raft != null) {
      raft.start(loop::post);
    }
    loop.tickEvery(TICK);
    if (!isControlMember) {
      return;
    }
    if (bootstrap != null) {
      ChangeId changeId = new ChangeId(UUID.randomUUID());
      Mono.defer(() -> submit(changeId, Revision.NONE, bootstrap))
          .filter(r -> r.code() != ResultCode.NO_LEADER)
          .filter(r -> r.code() != ResultCode.CHANGE_UNRESOLVED)
          .repeatWhenEmpty(empty -> empty.delayElements(BOOTSTRAP_RETRY_DELAY))
          .subscribe(
              r -> Logger.info("event=bootstrap code={} revision={}", r.code(), r.revision()));
    }
  }

  /** Returns whether a message is for the control loop. */
  static boolean handles(Message message) {
    return message instanceof Announce
        || message instanceof RaftMessage
        || message instanceof MemberGreeting
        || message instanceof JoinRequest
        || message instanceof AskConfiguration
        || message instanceof ConfigurationAge
        || message instanceof ConfigurationUpdate
        || message instanceof ForwardApply
        || message instanceof ForwardedApply;
  }

  void post(Event event) {
    loop.post(event);
  }

  @Override
  public Mono<ApplyResult> apply(ChangeRequest request) {
    try {
      Configuration content = ConfigurationFiles.parse(request.files(), Revision.NONE);
      return submit(request.changeId(), request.base(), content);
    } catch (CassiaException e) {
      return Mono.error(e);
    }
  }

  @Override
  public ConfigurationView show(@Nullable Revision revision) throws CassiaException {
    if (revision == null) {
      return view(history.newest());
    }
    Configuration c = history.find(revision);
    if (c == null) {
      throw CassiaException.of(Refusals.unknownRevision(revision));
    }
    return view(c);
  }

  private static ConfigurationView view(Configuration c) {
    return new ConfigurationView(c.revision(), ConfigurationText.write(c));
  }

  @Override
  public void close() {
    loop.close();
    if (raft != null) {
      raft.close();
    }
  }

  private List<Controller> logControllers(EntrySettings settings) {
    if (raft != null) {
      Duration lease = raftSettings(settings).leaseDuration();
      return List.of(raft.controller(), LeaderFreshnessController.create(lease));
    }
    return isControlMember ? List.of(SingleMemberLog.create()) : List.of();
  }

  private static @Nullable RaftDriver openRaft(EntrySettings settings) throws CassiaException {
    Path folder = settings.dataFolder();
    if (folder == null || !settings.memberNames().contains(settings.node())) {
      return null;
    }
    try {
      return RaftDriver.open(folder, settings.node(), raftSettings(settings), new SecureRandom());
    } catch (IOException e) {
      throw CassiaException.of(Refusals.unusableDataFolder(folder.toString(), e.toString()));
    }
  }

  private static RaftSettings raftSettings(EntrySettings settings) {
    return RaftSettings.of(List.copyOf(settings.memberNames()))
        .withSnapshotThresholdBytes(settings.maxLogBytes());
  }

  private Mono<ApplyResult> submit(ChangeId changeId, Revision base, Configuration content) {
    return Mono.create(
        sink -> {
          UUID requestId = UUID.randomUUID();
          pendingChanges.put(requestId, sink);
          sink.onDispose(() -> pendingChanges.remove(requestId));
          loop.post(new ApplySubmitted(new ApplyRequested(requestId, changeId, base, content)));
        });
  }

  private void perform(Effect effect) {
    if (effect instanceof ApplyAnswered a) {
      MonoSink<ApplyResult> sink = pendingChanges.remove(a.requestId());
      if (sink != null) {
        sink.success(a.result());
      }
      return;
    }
    if (effect instanceof Persist p && raft != null) {
      raft.persist(p);
      return;
    }
    if (effect instanceof ConfigurationChanged c) {
      history.add(c.configuration());
    }
    effectHandler.handle(effect);
  }
}
