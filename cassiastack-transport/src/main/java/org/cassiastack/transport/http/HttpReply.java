package org.cassiastack.transport.http;

import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ResultCode;
import org.reactivestreams.Publisher;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Status and body of one answer.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the text
 * @since 0.1
 */
public record HttpReply(int status, String contentType, String body) {
  private static final String JSON = "application/json";

  /** A JSON answer whose status follows from a result code. */
  public static HttpReply of(ResultCode code, String json) {
    return new HttpReply(HttpStatuses.of(code), JSON, json);
  }

  /** The JSON answer that tells a refusal. */
  public static HttpReply of(Refusal refusal) {
    return of(refusal.code(), JobJson.writeRefusal(refusal));
  }

  /** Sends an answer once it is there; what goes wrong becomes an answer too. */
  static Publisher<Void> respond(
      HttpServerRequest request, HttpServerResponse response, Mono<HttpReply> reply) {
    return reply
        .onErrorResume(CassiaException.class, e -> Mono.just(of(e.refusal())))
        .onErrorResume(e -> Mono.just(internalError(request, e)))
        .flatMap(
            r ->
                response
                    .status(r.status)
                    .header("Content-Type", r.contentType)
                    .sendString(Mono.just(r.body))
                    .then());
  }

  private static HttpReply internalError(HttpServerRequest request, Throwable e) {
    Logger.error(e, "event=request_failed path={}", request.path());
    return of(Refusals.internalError());
  }
}
