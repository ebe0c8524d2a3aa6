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
 *   <li>The guard's loop, a traffic thread, admits each task once.
 *   <li>Input threads call the minions and bring back what became of the tasks.
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
  private final ControllerLoop control;
  private final ControllerLoop traffic;
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
        PeerNetwork.create(hello, MessageCodec.create(), PeerTimings.STANDARD, new Listener());
    List<Minion> minions = settings.minions().stream().map(MinionSettings::minion).toList();
    for (MinionSettings m : settings.minions()) {
      clients.put(m.minion().id(), MinionClient.create(m.url(), m.minion().connections()));
    }
    guard =
        StartGuard.create(incarnation, minions, settings.retention(), settings.maxRetainedTasks());
    control =
        loop(
            "control",
            List.of(
                AnnouncementController.create(self, incarnation, minions, HEARTBEAT),
                FreshnessController.create(peer -> true)));
    traffic = loop("guard", List.of(guard));
    settings.entryAddresses().forEach(network::dial);
    pages = OperatorPages.serve(settings.operatorAddress(), metrics);
  }

  /**
   * Starts an agent.
   *
   * @param settings its settings
   * @param time tells the present time
   */
  public static Agent start(AgentSettings settings, TimeSource time) {
    Agent agent = new Agent(settings, time);
    agent.control.tickEvery(TICK);
    agent.traffic.tickEvery(TICK);
    Logger.info(
        "event=agent_started node={} worker={} failure_domain={} minions={}",
        agent.self,
        settings.worker().name(),
        settings.worker().failureDomain(),
        agent.clients.size());
    return agent;
  }

  /**
   * Stops the agent: announces that it leaves, lets its tasks end, then closes.
   *
   * @param patience longest wait for tasks
   */
  public void stop(Duration patience) {
    Logger.info("event=agent_stopping node={}", self);
    pages.markNotReady();
    control.post(new LeaveRequested());
    traffic.post(new LeaveRequested());
    try {
      boolean done = drained.await(patience.toMillis(), TimeUnit.MILLISECONDS);
      Logger.info("event=agent_stopped node={} drained={}", self, done);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    pages.close();
    network.close();
    control.close();
    traffic.close();
  }

  /** Returns the configuration that is in force here. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns what its connections to entries have carried. */
  public PeerTraffic traffic() {
    return network.traffic();
  }

  private ControllerLoop loop(String name, List<Controller> controllers) {
    return ControllerLoop.start(
        name,
        controllers,
        this::carryOut,
        time,
        e -> Logger.error(e, "event=controller_failed loop={}", name));
  }

  private void carryOut(Effect effect) {
    metrics.countEffect(effect);
    if (effect instanceof Send s) {
      network.send(s.to(), s.message());
    } else if (effect instanceof StartTask s) {
      runTask(s.dispatch());
    } else if (effect instanceof StartsAllowed a) {
      // To the guard first, so that it is ready before the agent announces itself.
      traffic.post(a);
      control.post(a);
    } else if (effect instanceof ConfigurationChanged c) {
      configuration = c.configuration();
    } else if (effect instanceof GuardDrained) {
      drained.countDown();
    }
  }

  private static boolean isForControl(Message m) {
    return m instanceof ConfigurationAge
        || m instanceof ConfigurationUpdate
        || m instanceof Welcome;
  }

  private void runTask(Dispatch d) {
    MinionClient client = clients.get(d.minion());
    if (client == null) {
      post(new TaskStopped(d.task(), ResultCode.NO_MINION, Payload.EMPTY));
      return;
    }
    client.run(d).subscribe(this::post);
  }

  private void post(Event event) {
    traffic.post(event);
  }

  private final class Listener implements PeerListener {
    @Override
    public void onConnected(NodeId peer) {
      control.post(new PeerConnected(peer));
    }

    @Override
    public void onDisconnected(NodeId peer) {
      control.post(new PeerDisconnected(peer));
    }

    @Override
    public void onMessage(NodeId peer, Message message) {
      metrics.countReceived(message);
      ControllerLoop loop = isForControl(message) ? control : traffic;
      loop.post(new Received(peer, message));
    }
  }
}
