package org.cassiastack.daemon.queue;

import java.time.Duration;
import java.time.Instant;
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
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.CallerRequest;
import org.cassiastack.request.DomainOrder;
import org.cassiastack.request.DomainRevision;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.RequestAbandoned;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.RequestAnswered;
import org.cassiastack.request.RequestPosted;
import org.jspecify.annotations.Nullable;
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
   * @return the answer, which arrives exactly once; a cancellation says that nobody waits for it
   */
  public Mono<RequestAnswer> request(LongFunction<LeaderRequest> requestFactory, Duration timeout) {
    return post(id -> new RequestPosted(requestFactory.apply(id), time.now().plus(timeout)));
  }

  /**
   * Orders that a failure domain is taken out of service or returned to service, when the returned
   * {@code Mono} is subscribed to.
   *
   * @param domain failure domain to switch
   * @param out true to take the domain out of service; false to return it to service
   * @param awaitedUntil time until which the operator certainly waits for the answer
   * @param basedOn revision that the operator has confirmed the order with, or null
   * @param timeout time within which an answer is useful
   * @return the answer, which arrives exactly once; {@link AnswerCode#CONFIRMATION_NEEDED} if the
   *     operator may have stopped waiting before the order was compared with newer ones
   */
  public Mono<RequestAnswer> switchDomain(
      FailureDomain domain,
      boolean out,
      Instant awaitedUntil,
      @Nullable DomainRevision basedOn,
      Duration timeout) {
    return post(
        id -> new DomainOrder(id, domain, out, awaitedUntil, basedOn, time.now().plus(timeout)));
  }

  private Mono<RequestAnswer> post(LongFunction<Event> eventFactory) {
    return Mono.create(
        sink -> {
          long requestId = lastRequestId.incrementAndGet();
          pendingRequests.put(requestId, sink);
          sink.onCancel(() -> abandon(requestId));
          events.accept(eventFactory.apply(requestId));
        });
  }

  private void abandon(long requestId) {
    if (pendingRequests.remove(requestId) != null) {
      events.accept(new RequestAbandoned(requestId));
    }
  }

  /** Returns a filter chain whose last step sends a caller's request to the leader. */
  public FilterChain<CallerRequest, RequestAnswer> chain(
      List<RequestFilter<CallerRequest, RequestAnswer>> filters) {
    return FilterChain.of(filters, (r, now) -> forward(r));
  }

  private Mono<RequestAnswer> forward(CallerRequest r) {
    return post(
        id ->
            new RequestPosted(
                r.requestFactory().apply(id), time.now().plus(r.timeout()), r.arrival()));
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
