package org.cassiastack.daemon.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cassiastack.controller.Event;
import org.cassiastack.filter.Request;
import org.cassiastack.job.AnswerCaller;
import org.cassiastack.job.CallerGone;
import org.cassiastack.job.CallerRequestId;
import org.cassiastack.job.JobCancelled;
import org.cassiastack.job.JobState;
import org.cassiastack.job.JobStateAsked;
import org.cassiastack.job.JobSubmitted;
import org.cassiastack.job.ReportJobState;
import org.cassiastack.model.Customer;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import org.cassiastack.transport.http.JobOperations;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Posts the requests of callers to the coordinator as events, and completes each request when the
 * coordinator returns the effect that contains the answer.
 */
final class CoordinatorClient implements JobOperations {
  private final Consumer<Event> coordinator;
  private final AtomicLong lastRequestId = new AtomicLong();
  private final Map<CallerRequestId, MonoSink<JobAnswer>> pendingAnswers =
      new ConcurrentHashMap<>();
  private final Map<CallerRequestId, MonoSink<JobState>> pendingStates = new ConcurrentHashMap<>();

  CoordinatorClient(Consumer<Event> coordinator) {
    this.coordinator = coordinator;
  }

  Mono<JobAnswer> submit(Request request) {
    return request(
        pendingAnswers, requestId -> new JobSubmitted(requestId, request.job(), request.refusal()));
  }

  @Override
  public Mono<JobState> state(Customer customer, JobKey key) {
    return request(pendingStates, requestId -> new JobStateAsked(requestId, customer, key));
  }

  @Override
  public Mono<JobAnswer> cancel(Customer customer, JobKey key) {
    return request(pendingAnswers, requestId -> new JobCancelled(requestId, customer, key));
  }

  void completeAnswer(AnswerCaller effect) {
    MonoSink<JobAnswer> sink = pendingAnswers.remove(effect.requestId());
    if (sink != null) {
      sink.success(effect.answer());
    }
  }

  void completeState(ReportJobState effect) {
    MonoSink<JobState> sink = pendingStates.remove(effect.requestId());
    if (sink != null) {
      sink.success(effect.state());
    }
  }

  /**
   * Returns the number of callers that wait for the answer to a job; state queries do not count.
   */
  int waitingCallers() {
    return pendingAnswers.size();
  }

  private <T> Mono<T> request(
      Map<CallerRequestId, MonoSink<T>> pending, Function<CallerRequestId, Event> event) {
    return Mono.create(
        sink -> {
          CallerRequestId requestId = new CallerRequestId(lastRequestId.incrementAndGet());
          pending.put(requestId, sink);
          sink.onDispose(
              () -> {
                if (pending.remove(requestId) != null) {
                  coordinator.accept(new CallerGone(requestId));
                }
              });
          coordinator.accept(event.apply(requestId));
        });
  }
}
