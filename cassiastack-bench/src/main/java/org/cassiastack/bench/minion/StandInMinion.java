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
 * A test double of a minion. It does no work: it answers each task after the run time that a {@link
 * TaskBehavior} determines. It counts the starts of each task, so that double starts can be
 * detected.
 *
 * <pre>{@code
 * StandInMinion minion = StandInMinion.start(address, TaskBehavior.specifiedByInput());
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
            .route(
                routes -> routes.post("/tasks", this::handleTask).get("/starts", this::sendStarts))
            .bindNow();
  }

  /**
   * Starts a minion.
   *
   * @param address address on which the minion listens; port 0 stands for any free port
   * @param behavior determines how long tasks run and how they end
   */
  public static StandInMinion start(InetSocketAddress address, TaskBehavior behavior) {
    return new StandInMinion(address, behavior);
  }

  /** Returns the URL to which agents send tasks. */
  public URI url() {
    InetSocketAddress address = (InetSocketAddress) server.address();
    return URI.create("http://" + address.getHostString() + ":" + address.getPort() + "/tasks");
  }

  /** Returns the number of starts by task; a task that did not start is not in the map. */
  public Map<String, Integer> startsByTask() {
    Map<String, Integer> copy = new ConcurrentHashMap<>();
    startsByTask.forEach((task, count) -> copy.put(task, count.get()));
    return copy;
  }

  /** Returns the number of starts of all tasks. */
  public long startCount() {
    return startCount.sum();
  }

  /** Returns the maximum number of tasks that ran at the same time. */
  public int maxRunning() {
    return maxRunning.get();
  }

  @Override
  public void close() {
    server.disposeNow();
  }

  private Publisher<Void> handleTask(HttpServerRequest request, HttpServerResponse response) {
    String task = request.requestHeaders().get(MinionClient.TASK_HEADER, "");
    return request
        .receive()
        .aggregate()
        .asString()
        .defaultIfEmpty("")
        .flatMap(input -> runTask(task, input))
        .flatMap(
            outcome ->
                response.status(outcome.status()).sendString(Mono.just(outcome.output())).then());
  }

  private Mono<TaskBehavior.Outcome> runTask(String task, String input) {
    startsByTask.computeIfAbsent(task, t -> new AtomicInteger()).incrementAndGet();
    startCount.increment();
    int runningNow = running.incrementAndGet();
    maxRunning.accumulateAndGet(runningNow, Math::max);
    TaskBehavior.Outcome outcome = behavior.decide(input);
    Duration runTime = outcome.runTime();
    return Mono.delay(runTime).thenReturn(outcome).doFinally(signal -> running.decrementAndGet());
  }

  private Publisher<Void> sendStarts(HttpServerRequest request, HttpServerResponse response) {
    StringBuilder lines = new StringBuilder();
    startsByTask.forEach(
        (task, count) -> lines.append(task).append(' ').append(count).append('\n'));
    return response.sendString(Mono.just(lines.toString()));
  }
}
