package org.cassiastack.daemon.entry;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.metrics.DaemonMetrics;
import org.cassiastack.daemon.settings.ConfigurationFiles;
import org.cassiastack.daemon.settings.EntrySettings;
import org.cassiastack.filter.FilterChain;
import org.cassiastack.filter.Filters;
import org.cassiastack.filter.Request;
import org.cassiastack.membership.MinionsChanged;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Revision;
import org.cassiastack.protocol.Hello;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.transport.codec.MessageCodec;
import org.cassiastack.transport.http.CallerApi;
import org.cassiastack.transport.http.HttpReply;
import org.cassiastack.transport.http.OperatorApi;
import org.cassiastack.transport.peer.PeerListener;
import org.cassiastack.transport.peer.PeerNetwork;
import org.cassiastack.transport.peer.PeerTimings;
import org.tinylog.Logger;
import reactor.netty.DisposableServer;

/**
 * A running entry.
 *
 * <ol>
 *   <li>Callers' requests pass through the filter chain on the I/O threads to the coordinator.
 *   <li>The coordinator's loop, a traffic thread, dispatches tasks and assembles answers.
 *   <li>The control loop maintains membership and configuration, and passes each change of either
 *       to the coordinator.
 * </ol>
 *
 * <pre>{@code
 * Entry entry = Entry.start(settings, TimeSource.system());
 * entry.stop(Duration.ofSeconds(30));
 * }</pre>
 *
 * @since 0.1
 */
public final class Entry {

  private final DaemonMetrics metrics = DaemonMetrics.create();
  private final NodeId self;
  private final PeerNetwork network;
  private final ControlPlane control;
  private final CoordinatorPlane coordinator;
  private final InetSocketAddress peerAddress;
  private final DisposableServer callers;
  private final DisposableServer operators;
  private volatile Configuration inForce = Configuration.EMPTY;
  private volatile MinionsChanged minions = new MinionsChanged(List.of(), Map.of());
  private volatile boolean stopping;

  private Entry(EntrySettings settings, TimeSource time) throws CassiaException {
    self = settings.node();
    Incarnation incarnation = Incarnation.startedAt(time.now());
    Hello hello = new Hello(Hello.PROTOCOL_VERSION, self, incarnation);
    network =
        PeerNetwork.create(hello, MessageCodec.create(), PeerTimings.STANDARD, new EventPoster());
    coordinator = CoordinatorPlane.create(settings, this::perform, time);
    control = ControlPlane.create(settings, this::perform, time);
    metrics.registerWaitingCallers(coordinator.client()::waitingCallers);
    FilterChain<Request, JobAnswer> chain =
        FilterChain.of(
            List.of(
                metrics.requestFilter(time),
                Filters.refuseWhileStopping(() -> stopping),
                Filters.taskCount(),
                Filters.customer(() -> inForce),
                Filters.service(() -> inForce)),
            (request, now) -> coordinator.client().submit(request));
    peerAddress = network.listen(settings.peerAddress());
    coordinator.awaitTrackingStart();
    callers = CallerApi.serve(settings.callerAddress(), chain, coordinator.client(), time);
    operators = OperatorApi.serve(settings.operatorAddress(), pages(), control);
    settings.memberAddresses().forEach(this::dial);
  }

  /**
   * Starts an entry.
   *
   * @param settings identity and addresses of the entry, the control members and the folders
   * @param time source of the current time
   * @throws CassiaException if the declarative files in the configuration folder are invalid or the
   *     data folder cannot be used
   */
  public static Entry start(EntrySettings settings, TimeSource time) throws CassiaException {
    Path folder = settings.configurationFolder();
    Configuration bootstrap =
        folder == null
            ? null
            : ConfigurationFiles.parse(ConfigurationFiles.readFolder(folder), Revision.NONE);
    Entry entry = new Entry(settings, time);
    entry.control.start(bootstrap);
    entry.coordinator.start();
    Logger.info(
        "event=entry_started node={} callers={} operators={} peers={}",
        entry.self,
        entry.callerAddress(),
        entry.operatorAddress(),
        entry.peerAddress);
    return entry;
  }

  /** Returns the address on which the callers' API listens. */
  public InetSocketAddress callerAddress() {
    return (InetSocketAddress) callers.address();
  }

  /** Returns the address on which the operators' API listens. */
  public InetSocketAddress operatorAddress() {
    return (InetSocketAddress) operators.address();
  }

  /** Returns the address on which the entry accepts connections of agents and other entries. */
  public InetSocketAddress peerAddress() {
    return peerAddress;
  }

  /** Returns the configuration that is in force in this entry. */
  public Configuration configuration() {
    return inForce;
  }

  /** Returns the minions that are available for tasks. */
  public MinionsChanged minions() {
    return minions;
  }

  /**
   * Stops the entry: refuses new jobs, waits for the jobs in flight, then closes all connections.
   *
   * @param timeout maximum time to wait for the jobs in flight
   */
  public void stop(Duration timeout) {
    Logger.info(
        "event=entry_stopping node={} waiting={}", self, coordinator.client().waitingCallers());
    stopping = true;
    callers.disposeNow(timeout);
    operators.disposeNow();
    network.close();
    control.close();
    coordinator.close();
    Logger.info("event=entry_stopped node={}", self);
  }

  private void dial(NodeId member, InetSocketAddress address) {
    if (!member.equals(self)) {
      network.dial(address);
    }
  }

  private void perform(Effect effect) {
    metrics.countEffect(effect);
    if (effect instanceof Send s) {
      network.send(s.to(), s.message());
    } else if (effect instanceof MinionsChanged m) {
      minions = m;
      Logger.info("event=minions_changed available={}", m.available().size());
      coordinator.post(m);
    } else if (effect instanceof ConfigurationChanged c) {
      inForce = c.configuration();
      Logger.info("event=configuration_in_force revision={}", inForce.revision());
      coordinator.post(c);
    } else if (effect instanceof StartsAllowed s) {
      coordinator.post(s);
    }
  }

  private Map<String, Supplier<HttpReply>> pages() {
    return Map.of(
        "/metrics", () -> new HttpReply(200, DaemonMetrics.CONTENT_TYPE, metrics.prometheusText()),
        "/healthz", () -> new HttpReply(200, "text/plain", "ok\n"),
        "/readyz",
            () ->
                stopping
                    ? new HttpReply(503, "text/plain", "stopping\n")
                    : new HttpReply(200, "text/plain", "ok\n"),
        "/v1/status",
            () -> new HttpReply(200, "application/json", StatusJson.write(self, inForce, minions)));
  }

  private final class EventPoster implements PeerListener {
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
      Received received = new Received(peer, message);
      if (ControlPlane.handles(message)) {
        control.post(received);
      } else {
        coordinator.post(received);
      }
    }
  }
}
