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
 * Runs tasks at one minion over HTTP: {@code POST URL} with the input as body and the task in
 * {@code Cassia-Task}; the answer's body is the output.
 *
 * @since 0.1
 */
public final class MinionClient {
  /** Header that names the task. */
  public static final String TASK_HEADER = "Cassia-Task";

  private static final int OK = 200;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration KEEP_IDLE = Duration.ofSeconds(20);

  private final HttpClient client;
  private final URI url;

  private MinionClient(HttpClient client, URI url) {
    this.client = client;
    this.url = url;
  }

  /**
   * Makes a client.
   *
   * @param url where the minion takes tasks
   * @param connections largest number of connections to it
   */
  public static MinionClient create(URI url, int connections) {
    ConnectionProvider provider =
        ConnectionProvider.builder("minion")
            .maxConnections(connections)
            .pendingAcquireMaxCount(-1)
            .maxIdleTime(KEEP_IDLE)
            .build();
    HttpClient client =
        HttpClient.create(provider)
            // The client would send a request again after a reset, which could start a task twice.
            .disableRetry(true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis());
    return new MinionClient(client, url);
  }

  /**
   * Runs a task.
   *
   * @return what became of it, exactly once; a refused connection proves that it did not start
   */
  public Mono<TaskStopped> run(Dispatch d) {
    return client
        .headers(h -> h.set(TASK_HEADER, d.task().toString()))
        .post()
        .uri(url)
        .send(Mono.just(Unpooled.wrappedBuffer(d.payload().asByteBuffer())))
        .responseSingle((response, body) -> stopped(d, response, body))
        .onErrorResume(e -> Mono.just(failed(d, e)));
  }

  private static Mono<TaskStopped> stopped(Dispatch d, HttpClientResponse r, ByteBufMono body) {
    ResultCode code = r.status().code() == OK ? ResultCode.COMPLETE : ResultCode.TASK_FAILED;
    return body.asByteArray()
        .defaultIfEmpty(new byte[0])
        .map(b -> new TaskStopped(d.task(), code, Payload.wrap(b)));
  }

  private static TaskStopped failed(Dispatch d, Throwable e) {
    Logger.warn("event=minion_call_failed task={} reason=\"{}\"", d.task(), e.toString());
    boolean neverReached = e instanceof ConnectException;
    ResultCode code = neverReached ? ResultCode.NO_MINION : ResultCode.MINION_LOST;
    return new TaskStopped(d.task(), code, Payload.EMPTY);
  }
}
