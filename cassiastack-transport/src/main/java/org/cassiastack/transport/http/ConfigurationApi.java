package org.cassiastack.transport.http;

import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** The part of the HTTP API for operators that applies and shows configurations. */
final class ConfigurationApi {
  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
  private static final String PATH = "/v1/configuration";

  private final ConfigurationOperations operations;

  private ConfigurationApi(ConfigurationOperations operations) {
    this.operations = operations;
  }

  static void addTo(HttpServerRoutes routes, ConfigurationOperations operations) {
    ConfigurationApi api = new ConfigurationApi(operations);
    routes
        .post(PATH, api::apply)
        .get(PATH, (request, response) -> api.show(request, response, null))
        .get(
            PATH + "/{revision}",
            (request, response) -> api.show(request, response, request.param("revision")));
  }

  private Publisher<Void> apply(HttpServerRequest request, HttpServerResponse response) {
    Mono<HttpReply> reply =
        RequestBodies.read(request, MAX_BODY_BYTES)
            .flatMap(
                body -> {
                  try {
                    return operations.apply(ConfigurationJson.readChange(body));
                  } catch (CassiaException e) {
                    return Mono.error(e);
                  }
                })
            .map(r -> HttpReply.of(r.code(), ConfigurationJson.writeResult(r)));
    return HttpReply.respond(request, response, reply);
  }

  private Publisher<Void> show(
      HttpServerRequest request, HttpServerResponse response, @Nullable String revision) {
    Mono<HttpReply> reply =
        Mono.fromCallable(
            () -> {
              ConfigurationView view = operations.show(parseRevision(revision));
              return HttpReply.of(ResultCode.COMPLETE, ConfigurationJson.writeView(view));
            });
    return HttpReply.respond(request, response, reply);
  }

  private static @Nullable Revision parseRevision(@Nullable String text) throws CassiaException {
    try {
      return text == null ? null : new Revision(Long.parseLong(text));
    } catch (NumberFormatException e) {
      throw CassiaException.of(Refusals.malformed("the revision is not a whole number"));
    }
  }
}
