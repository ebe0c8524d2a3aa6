package org.cassiastack.daemon.agent;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Supplier;
import org.cassiastack.daemon.metrics.DaemonMetrics;
import org.cassiastack.transport.http.HttpReply;
import org.cassiastack.transport.http.OperatorApi;
import org.jspecify.annotations.Nullable;
import reactor.netty.DisposableServer;

/** What operators see of an agent: health, readiness and counters, where a listener is set. */
final class OperatorPages {
  private static final String PLAIN = "text/plain";

  private final @Nullable DisposableServer server;
  private volatile boolean markNotReady;

  private OperatorPages(@Nullable InetSocketAddress address, DaemonMetrics metrics) {
    server = address == null ? null : OperatorApi.serve(address, pages(metrics), null);
  }

  /** Serves the pages, or none when there is no address. */
  static OperatorPages serve(@Nullable InetSocketAddress address, DaemonMetrics metrics) {
    return new OperatorPages(address, metrics);
  }

  /** Makes the agent not ready; it still answers. */
  void markNotReady() {
    markNotReady = true;
  }

  void close() {
    DisposableServer s = server;
    if (s != null) {
      s.disposeNow();
    }
  }

  private Map<String, Supplier<HttpReply>> pages(DaemonMetrics metrics) {
    return Map.of(
        "/healthz", () -> new HttpReply(200, PLAIN, "ok\n"),
        "/readyz", this::readiness,
        "/metrics", () -> new HttpReply(200, DaemonMetrics.CONTENT_TYPE, metrics.prometheusText()));
  }

  private HttpReply readiness() {
    return markNotReady
        ? new HttpReply(503, PLAIN, "stopping\n")
        : new HttpReply(200, PLAIN, "ok\n");
  }
}
