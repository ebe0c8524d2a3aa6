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
 * Status, media type and body of an HTTP response.
 *
 * @param status HTTP status code
 * @param contentType media type of the body
 * @param body text of the body
 * @since 0.1
 */
public record HttpReply(int status, String contentType, String body) {
  private static final String JSON_MEDIA_TYPE = "application/json";

  /** Returns a JSON reply with the HTTP status for a result code. */
  public static HttpReply of(ResultCode code, String json) {
    return new HttpReply(HttpStatuses.of(code), JSON_MEDIA_TYPE, json);
  }

  /** Returns the JSON reply for a refusal; the reply contains no job key. */
  public static HttpReply of(Refusal refusal) {
    return of(refusal.code(), JobJson.writeRefusal(refusal));
  }

  /**
   * Sends a reply when it is available. A {@link CassiaException} is sent as the refusal that it
   * contains; any other error is logged and sent as an internal error.
   */
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
