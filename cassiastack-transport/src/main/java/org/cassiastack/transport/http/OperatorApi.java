package org.cassiastack.transport.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * The operators' API over HTTP, on a listener of its own.
 *
 * @since 0.1
 */
public final class OperatorApi {
  private OperatorApi() {}

  /**
   * Starts to serve.
   *
   * @param address where to listen; port 0 takes any free one
   * @param pages what is answered to {@code GET}, by path
   * @param desk applies and shows configurations, or null where that is not offered
   */
  public static DisposableServer serve(
      InetSocketAddress address,
      Map<String, Supplier<HttpReply>> pages,
      @Nullable ConfigurationOperations desk) {
    return HttpServer.create()
        .bindAddress(() -> address)
        .route(
            routes -> {
              if (desk != null) {
                ConfigurationApi.addTo(routes, desk);
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
