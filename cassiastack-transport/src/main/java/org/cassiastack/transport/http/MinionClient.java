package org.cassiastack.transport.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import org.cassiastack.guard.TaskStopped;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.protocol.Dispatch;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * HTTP client that runs tasks on a minion. Sends each task as {@code POST} to the URL of the
 * minion, with the input as the body and the task id in the header {@code Cassia-Task}. The body of
 * the response is the output of the task.
 *
 * @since 0.1
 */
public final class MinionClient {
  /** Name of the header that contains the id of the task. */
  public static final String TASK_HEADER = "Cassia-Task";

  private static final int OK = 200;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(20);

  private final HttpClient client;
  private final URI url;

  private MinionClient(HttpClient client, URI url) {
    this.client = client;
    this.url = url;
  }

  /**
   * Creates a client.
   *
   * @param url URL to which tasks are sent
   * @param connections maximum number of connections to the minion
   */
  public static MinionClient create(URI url, int connections) {
    ConnectionProvider provider =
        ConnectionProvider.builder("minion")
            .maxConnections(connections)
            .pendingAcquireMaxCount(-1)
            .maxIdleTime(MAX_IDLE_TIME)
            .build();
    HttpClient client =
        HttpClient.create(provider)
            // A retry of the HTTP client after a connection reset could start a task twice.
            .disableRetry(true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis());
    return new MinionClient(client, url);
  }

  /**
   * Runs a task.
   *
   * @return the outcome of the task, exactly once and never an error. The code is {@link
   *     ResultCode#NO_MINION} if no connection could be established, which proves that the task did
   *     not start, and {@link ResultCode#MINION_LOST} after any other failure of the call.
   */
  public Mono<TaskStopped> run(Dispatch d) {
    return client
        .headers(h -> h.set(TASK_HEADER, d.task().toString()))
        .post()
        .uri(url)
        .send(Mono.just(Unpooled.wrappedBuffer(d.payload().asByteBuffer())))
        .responseSingle((response, body) -> toTaskStopped(d, response, body))
        .onErrorResume(e -> Mono.just(callFailed(d, e)));
  }

  private static Mono<TaskStopped> toTaskStopped(
      Dispatch d, HttpClientResponse r, ByteBufMono body) {
    ResultCode code = r.status().code() == OK ? ResultCode.COMPLETE : ResultCode.TASK_FAILED;
    return body.asByteArray()
        .defaultIfEmpty(new byte[0])
        .map(b -> new TaskStopped(d.task(), code, Payload.wrap(b)));
  }

  private static TaskStopped callFailed(Dispatch d, Throwable e) {
    Logger.warn("event=minion_call_failed task={} reason=\"{}\"", d.task(), e.toString());
    boolean notConnected = e instanceof ConnectException;
    ResultCode code = notConnected ? ResultCode.NO_MINION : ResultCode.MINION_LOST;
    return new TaskStopped(d.task(), code, Payload.EMPTY);
  }
}
