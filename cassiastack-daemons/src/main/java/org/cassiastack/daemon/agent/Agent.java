package org.cassiastack.daemon.agent;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.ControllerLoop;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.metrics.DaemonMetrics;
import org.cassiastack.daemon.settings.AgentSettings;
import org.cassiastack.daemon.settings.AgentSettings.MinionSettings;
import org.cassiastack.guard.GuardDrained;
import org.cassiastack.guard.StartGuard;
import org.cassiastack.guard.StartTask;
import org.cassiastack.guard.TaskStopped;
import org.cassiastack.membership.AnnouncementController;
import org.cassiastack.membership.LeaveRequested;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.propagation.ConfigurationAge;
import org.cassiastack.propagation.ConfigurationUpdate;
import org.cassiastack.propagation.FreshnessController;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Hello;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.Welcome;
import org.cassiastack.transport.codec.MessageCodec;
import org.cassiastack.transport.http.MinionClient;
import org.cassiastack.transport.peer.PeerListener;
import org.cassiastack.transport.peer.PeerNetwork;
import org.cassiastack.transport.peer.PeerTimings;
import org.cassiastack.transport.peer.PeerTraffic;
import org.tinylog.Logger;

/**
 * A running agent.
 *
 * <ol>
 *   <li>The control loop announces the agent's minions to every entry.
 *   <li>The loop of the start guard, on a traffic thread, starts each task at most once.
 *   <li>The I/O threads of the HTTP clients call the minions and post the outcomes of the tasks to
 *       the start guard.
 * </ol>
 *
 * <pre>{@code
 * Agent agent = Agent.start(settings, TimeSource.system());
 * agent.stop(Duration.ofSeconds(30));
 * }</pre>
 *
 * @since 0.1
 */
public final class Agent {
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration HEARTBEAT = Duration.ofSeconds(1);

  private final DaemonMetrics metrics = DaemonMetrics.create();
  private final NodeId self;
  private final TimeSource time;
  private final PeerNetwork network;
  private final ControllerLoop controlLoop;
  private final ControllerLoop guardLoop;
  private final StartGuard guard;
  private final Map<MinionId, MinionClient> clients = new HashMap<>();
  private volatile Configuration configuration = Configuration.EMPTY;
  private final CountDownLatch drained = new CountDownLatch(1);
  private final OperatorPages pages;

  private Agent(AgentSettings settings, TimeSource time) {
    this.self = settings.node();
    this.time = time;
    Incarnation incarnation = Incarnation.startedAt(time.now());
    Hello hello = new Hello(Hello.PROTOCOL_VERSION, self, incarnation);
    network =
        PeerNetwork.create(hello, MessageCodec.create(), PeerTimings.STANDARD, new EventPoster());
    List<Minion> minions = settings.minions().stream().map(MinionSettings::minion).toList();
    for (MinionSettings m : settings.minions()) {
      clients.put(m.minion().id(), MinionClient.create(m.url(), m.minion().connections()));
    }
    guard =
        StartGuard.create(incarnation, minions, settings.retention(), settings.maxRetainedTasks());
    controlLoop =
        loop(
            "control",
            List.of(
                AnnouncementController.create(self, incarnation, minions, HEARTBEAT),
                FreshnessController.create(peer -> true)));
    guardLoop = loop("guard", List.of(guard));
    settings.entryAddresses().forEach(network::dial);
    pages = OperatorPages.serve(settings.operatorAddress(), metrics);
  }

  /**
   * Starts an agent, which connects to the entries and announces its minions.
   *
   * @param settings identity of the agent, its minions and the addresses of the entries
   * @param time source of the current time
   */
  public static Agent start(AgentSettings settings, TimeSource time) {
    Agent agent = new Agent(settings, time);
    agent.controlLoop.tickEvery(TICK);
    agent.guardLoop.tickEvery(TICK);
    Logger.info(
        "event=agent_started node={} worker={} failure_domain={} minions={}",
        agent.self,
        settings.worker().name(),
        settings.worker().failureDomain(),
        agent.clients.size());
    return agent;
  }

  /**
   * Stops the agent: announces to the entries that the agent is leaving, waits for its tasks to
   * end, then closes all connections.
   *
   * @param timeout maximum time to wait for the tasks to end
   */
  public void stop(Duration timeout) {
    Logger.info("event=agent_stopping node={}", self);
    pages.markNotReady();
    controlLoop.post(new LeaveRequested());
    guardLoop.post(new LeaveRequested());
    try {
      boolean allEnded = drained.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
      Logger.info("event=agent_stopped node={} drained={}", self, allEnded);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    pages.close();
    network.close();
    controlLoop.close();
    guardLoop.close();
  }

  /** Returns the configuration that is in force in this agent. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns the traffic counters of the connections to the entries. */
  public PeerTraffic traffic() {
    return network.traffic();
  }

  private ControllerLoop loop(String name, List<Controller> controllers) {
    return ControllerLoop.start(
        name,
        controllers,
        this::perform,
        time,
        e -> Logger.error(e, "event=controller_failed loop={}", name));
  }

  private void perform(Effect effect) {
    metrics.countEffect(effect);
    if (effect instanceof Send s) {
      network.send(s.to(), s.message());
    } else if (effect instanceof StartTask s) {
      runTask(s.dispatch());
    } else if (effect instanceof StartsAllowed a) {
      // The guard is notified first, so that it allows starts before the agent announces itself.
      guardLoop.post(a);
      controlLoop.post(a);
    } else if (effect instanceof ConfigurationChanged c) {
      configuration = c.configuration();
    } else if (effect instanceof GuardDrained) {
      drained.countDown();
    }
  }

  private static boolean isForControlLoop(Message m) {
    return m instanceof ConfigurationAge
        || m instanceof ConfigurationUpdate
        || m instanceof Welcome;
  }

  private void runTask(Dispatch d) {
    MinionClient client = clients.get(d.minion());
    if (client == null) {
      postToGuard(new TaskStopped(d.task(), ResultCode.NO_MINION, Payload.EMPTY));
      return;
    }
    client.run(d).subscribe(this::postToGuard);
  }

  private void postToGuard(Event event) {
    guardLoop.post(event);
  }

  private final class EventPoster implements PeerListener {
    @Override
    public void onConnected(NodeId peer) {
      controlLoop.post(new PeerConnected(peer));
    }

    @Override
    public void onDisconnected(NodeId peer) {
      controlLoop.post(new PeerDisconnected(peer));
    }

    @Override
    public void onMessage(NodeId peer, Message message) {
      metrics.countReceived(message);
      ControllerLoop loop = isForControlLoop(message) ? controlLoop : guardLoop;
      loop.post(new Received(peer, message));
    }
  }
}
