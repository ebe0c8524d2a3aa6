package org.cassiastack.daemon.agent;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Supplier;
import org.cassiastack.daemon.metrics.DaemonMetrics;
import org.cassiastack.transport.http.HttpReply;
import org.cassiastack.transport.http.OperatorApi;
import org.jspecify.annotations.Nullable;
import reactor.netty.DisposableServer;

/** HTTP pages of an agent for operators: health, readiness and metrics. */
final class OperatorPages {
  private static final String PLAIN_TEXT = "text/plain";

  private final @Nullable DisposableServer server;
  private volatile boolean stopping;

  private OperatorPages(@Nullable InetSocketAddress address, DaemonMetrics metrics) {
    server = address == null ? null : OperatorApi.serve(address, pages(metrics), null);
  }

  /** Serves the pages at an address; serves nothing if the address is null. */
  static OperatorPages serve(@Nullable InetSocketAddress address, DaemonMetrics metrics) {
    return new OperatorPages(address, metrics);
  }

  /** Makes the readiness page answer with status 503. The other pages are served as before. */
  void markNotReady() {
    stopping = true;
  }

  void close() {
    DisposableServer running = server;
    if (running != null) {
      running.disposeNow();
    }
  }

  private Map<String, Supplier<HttpReply>> pages(DaemonMetrics metrics) {
    return Map.of(
        "/healthz", () -> new HttpReply(200, PLAIN_TEXT, "ok\n"),
        "/readyz", this::readiness,
        "/metrics", () -> new HttpReply(200, DaemonMetrics.CONTENT_TYPE, metrics.prometheusText()));
  }

  private HttpReply readiness() {
    return stopping
        ? new HttpReply(503, PLAIN_TEXT, "stopping\n")
        : new HttpReply(200, PLAIN_TEXT, "ok\n");
  }
}
