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

/** Joins callers that wait with the events and effects of the coordinator. */
final class CoordinatorClient implements JobOperations {
  private final Consumer<Event> coordinator;
  private final AtomicLong lastCaller = new AtomicLong();
  private final Map<CallerRequestId, MonoSink<JobAnswer>> answers = new ConcurrentHashMap<>();
  private final Map<CallerRequestId, MonoSink<JobState>> states = new ConcurrentHashMap<>();

  CoordinatorClient(Consumer<Event> coordinator) {
    this.coordinator = coordinator;
  }

  Mono<JobAnswer> submit(Request request) {
    return ask(answers, caller -> new JobSubmitted(caller, request.job(), request.refusal()));
  }

  @Override
  public Mono<JobState> state(Customer customer, JobKey key) {
    return ask(states, caller -> new JobStateAsked(caller, customer, key));
  }

  @Override
  public Mono<JobAnswer> cancel(Customer customer, JobKey key) {
    return ask(answers, caller -> new JobCancelled(caller, customer, key));
  }

  void completeAnswer(AnswerCaller effect) {
    MonoSink<JobAnswer> sink = answers.remove(effect.caller());
    if (sink != null) {
      sink.success(effect.answer());
    }
  }

  void completeState(ReportJobState effect) {
    MonoSink<JobState> sink = states.remove(effect.caller());
    if (sink != null) {
      sink.success(effect.state());
    }
  }

  /** Returns the number of callers that wait for an answer. */
  int waitingCallers() {
    return answers.size();
  }

  private <T> Mono<T> ask(
      Map<CallerRequestId, MonoSink<T>> waiting, Function<CallerRequestId, Event> event) {
    return Mono.create(
        sink -> {
          CallerRequestId caller = new CallerRequestId(lastCaller.incrementAndGet());
          waiting.put(caller, sink);
          sink.onDispose(
              () -> {
                if (waiting.remove(caller) != null) {
                  coordinator.accept(new CallerGone(caller));
                }
              });
          coordinator.accept(event.apply(caller));
        });
  }
}
