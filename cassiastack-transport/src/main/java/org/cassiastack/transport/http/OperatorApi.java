package org.cassiastack.transport.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * HTTP API for operators, on an address separate from the API for callers.
 *
 * @since 0.1
 */
public final class OperatorApi {
  private OperatorApi() {}

  /**
   * Starts the HTTP server.
   *
   * @param address address to listen on; port 0 selects a free port
   * @param pages suppliers of the replies to {@code GET} requests, by path
   * @param configurations applies and shows configurations, or null if the server does not offer
   *     these operations
   * @return the running server
   */
  public static DisposableServer serve(
      InetSocketAddress address,
      Map<String, Supplier<HttpReply>> pages,
      @Nullable ConfigurationOperations configurations) {
    return HttpServer.create()
        .bindAddress(() -> address)
        .route(
            routes -> {
              if (configurations != null) {
                ConfigurationApi.addTo(routes, configurations);
              }
              pages.forEach(
                  (path, page) ->
                      routes.get(
                          path,
                          (request, response) ->
                              HttpReply.respond(request, response, Mono.fromSupplier(page))));
            })
        .bindNow();
  }
}
