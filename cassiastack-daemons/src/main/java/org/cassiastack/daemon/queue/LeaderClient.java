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
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.CallerRequest;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.RequestAnswered;
import org.cassiastack.request.RequestPosted;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Sends the requests of front ends to the leader and returns the answers.
 *
 * <pre>{@code
 * Mono<RequestAnswer> answer =
 *     leaderClient.request(id -> new AskJob(id, address), Duration.ofSeconds(1));
 * }</pre>
 *
 * @since 0.2
 */
public final class LeaderClient {
  private final TimeSource time;
  private final Consumer<Event> events;
  private final AtomicLong lastRequestId = new AtomicLong();
  private final Map<Long, MonoSink<RequestAnswer>> pendingRequests = new ConcurrentHashMap<>();

  LeaderClient(TimeSource time, Consumer<Event> events) {
    this.time = time;
    this.events = events;
    // Requests of an earlier incarnation of this process must not share ids with those of this
    // incarnation.
    lastRequestId.set(Incarnation.startedAt(time.now()).value());
  }

  /**
   * Sends a request to the leader when the returned {@code Mono} is subscribed to.
   *
   * @param requestFactory creates the request from the request id that is passed to it
   * @param timeout time within which an answer is useful
   * @return the answer, which arrives exactly once
   */
  public Mono<RequestAnswer> request(LongFunction<LeaderRequest> requestFactory, Duration timeout) {
    return Mono.create(
        sink -> {
          long requestId = lastRequestId.incrementAndGet();
          pendingRequests.put(requestId, sink);
          events.accept(
              new RequestPosted(requestFactory.apply(requestId), time.now().plus(timeout)));
        });
  }

  /** Returns a filter chain whose last step sends a caller's request to the leader. */
  public FilterChain<CallerRequest, RequestAnswer> chain(
      List<RequestFilter<CallerRequest, RequestAnswer>> filters) {
    return FilterChain.of(filters, (r, now) -> request(r.requestFactory(), r.timeout()));
  }

  /** Returns the number of requests that have not been answered yet. */
  public int pendingRequests() {
    return pendingRequests.size();
  }

  /**
   * Answers every pending request with {@link AnswerCode#UNANSWERED}: it is not known whether the
   * request had an effect.
   */
  public void answerPendingAsUnanswered() {
    for (long requestId : pendingRequests.keySet()) {
      onAnswered(new RequestAnswered(requestId, RequestAnswer.of(AnswerCode.UNANSWERED)));
    }
  }

  void onAnswered(RequestAnswered answered) {
    MonoSink<RequestAnswer> sink = pendingRequests.remove(answered.requestId());
    if (sink != null) {
      sink.success(answered.answer());
    }
  }
}
