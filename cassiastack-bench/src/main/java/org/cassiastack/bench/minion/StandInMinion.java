package org.cassiastack.bench.minion;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.cassiastack.transport.http.MinionClient;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A minion that only waits: it answers each task after the time that a {@link TaskBehavior} names,
 * and counts every start by task, so that trials can tell a double start.
 *
 * <pre>{@code
 * StandInMinion minion = StandInMinion.start(address, TaskBehavior.namedByInput());
 * URI url = minion.url();
 * }</pre>
 *
 * @since 0.1
 */
public final class StandInMinion implements AutoCloseable {
  private final TaskBehavior behavior;
  private final Map<String, AtomicInteger> startsByTask = new ConcurrentHashMap<>();
  private final LongAdder startCount = new LongAdder();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger maxRunning = new AtomicInteger();
  private final DisposableServer server;

  private StandInMinion(InetSocketAddress address, TaskBehavior behavior) {
    this.behavior = behavior;
    this.server =
        HttpServer.create()
            .bindAddress(() -> address)
            .route(r -> r.post("/tasks", this::run).get("/starts", this::report))
            .bindNow();
  }

  /**
   * Starts a minion.
   *
   * @param address where it takes tasks; port 0 takes any free one
   * @param behavior how long tasks take and how they end
   */
  public static StandInMinion start(InetSocketAddress address, TaskBehavior behavior) {
    return new StandInMinion(address, behavior);
  }

  /** Returns where the minion takes tasks. */
  public URI url() {
    InetSocketAddress a = (InetSocketAddress) server.address();
    return URI.create("http://" + a.getHostString() + ":" + a.getPort() + "/tasks");
  }

  /** Returns the number of starts of each task. */
  public Map<String, Integer> startsByTask() {
    Map<String, Integer> copy = new ConcurrentHashMap<>();
    startsByTask.forEach((task, count) -> copy.put(task, count.get()));
    return copy;
  }

  /** Returns the number of starts of all tasks. */
  public long startCount() {
    return startCount.sum();
  }

  /** Returns the largest number of tasks that ran at a time. */
  public int maxRunning() {
    return maxRunning.get();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private Publisher<Void> run(HttpServerRequest request, HttpServerResponse response) {
    String task = request.requestHeaders().get(MinionClient.TASK_HEADER, "");
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .flatMap(input -> run(task, input))
        .flatMap(o -> response.status(o.status()).sendString(Mono.just(o.output())).then());
  }

  private Mono<TaskBehavior.Outcome> run(String task, String input) {
    startsByTask.computeIfAbsent(task, t -> new AtomicInteger()).incrementAndGet();
    startCount.increment();
    int now = running.incrementAndGet();
    maxRunning.accumulateAndGet(now, Math::max);
    TaskBehavior.Outcome outcome = behavior.decide(input);
    Duration runTime = outcome.runTime();
    return Mono.delay(runTime).thenReturn(outcome).doFinally(signal -> running.decrementAndGet());
  }

  private Publisher<Void> report(HttpServerRequest request, HttpServerResponse response) {
    StringBuilder lines = new StringBuilder();
    startsByTask.forEach(
        (task, count) -> lines.append(task).append(' ').append(count).append('\n'));
    return response.sendString(Mono.just(lines.toString()));
  }
}
