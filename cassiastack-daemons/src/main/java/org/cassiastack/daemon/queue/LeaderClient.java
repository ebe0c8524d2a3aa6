package org.cassiastack.daemon.queue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.filter.FilterChain;
import org.cassiastack.filter.RequestFilter;
import org.cassiastack.model.Incarnation;
import org.cassiastack.request.CallerRequest;
import org.cassiastack.request.DeskCall;
import org.cassiastack.request.DeskCode;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.RequestAnswered;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Where front ends ask the leader.
 *
 * <pre>{@code
 * Mono<DeskAnswer> answer = port.ask(call -> new AskJob(call, address), Duration.ofSeconds(1));
 * }</pre>
 *
 * @since 0.2
 */
public final class LeaderClient {
  private final TimeSource time;
  private final Consumer<Event> events;
  private final AtomicLong calls = new AtomicLong();
  private final Map<Long, MonoSink<RequestAnswer>> pendingRequests = new ConcurrentHashMap<>();

  LeaderClient(TimeSource time, Consumer<Event> events) {
    this.time = time;
    this.events = events;
    // Calls of an earlier life of this process must not be taken for calls of this one.
    calls.set(Incarnation.startedAt(time.now()).value());
  }

  /**
   * Asks the leader.
   *
   * @param request makes the request, given its identity
   * @param patience how long an answer is of use
   * @return the answer, exactly once
   */
  public Mono<RequestAnswer> request(LongFunction<LeaderRequest> request, Duration patience) {
    return Mono.create(
        sink -> {
          long call = calls.incrementAndGet();
          pendingRequests.put(call, sink);
          events.accept(new DeskCall(request.apply(call), time.now().plus(patience)));
        });
  }

  /** Returns the chain that a caller's request passes on its way to the leader. */
  public FilterChain<CallerRequest, RequestAnswer> chain(
      List<RequestFilter<CallerRequest, RequestAnswer>> filters) {
    return FilterChain.of(filters, (r, now) -> request(r.requestFactory(), r.timeout()));
  }

  /** Returns the number of requests without an answer. */
  public int pendingRequests() {
    return pendingRequests.size();
  }

  /** Answers every request that waits: whether it has an effect is not known. */
  public void answerPendingAsUnanswered() {
    for (long call : pendingRequests.keySet()) {
      onAnswered(new RequestAnswered(call, RequestAnswer.of(DeskCode.UNANSWERED)));
    }
  }

  void onAnswered(RequestAnswered a) {
    MonoSink<RequestAnswer> sink = pendingRequests.remove(a.requestId());
    if (sink != null) {
      sink.success(a.answer());
    }
  }
}
