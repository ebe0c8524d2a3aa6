package org.cassiastack.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.function.IntSupplier;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.filter.FilterChain;
import org.cassiastack.filter.Request;
import org.cassiastack.filter.RequestFilter;
import org.cassiastack.guard.StartTask;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.TaskNotStarted;
import reactor.core.publisher.Mono;

/**
 * The metrics of one daemon.
 *
 * <ol>
 *   <li>{@link #requestFilter} is the first filter of the chain: it counts the answers by result
 *       code and records their response times.
 *   <li>{@link #countEffect} counts effects of the controllers, such as messages and task starts.
 *   <li>{@link #countReceived} counts received messages.
 *   <li>{@link #prometheusText} returns the metrics for Prometheus to scrape.
 * </ol>
 *
 * <p>Each daemon has its own registry, so that several daemons can run in one process. The names of
 * the metrics are listed in docs/METRICS.md.
 *
 * @since 0.1
 */
public final class DaemonMetrics {
  /** Media type of {@link #prometheusText}. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private static final double NANOS_PER_SECOND = 1e9;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter answers =
      Counter.builder()
          .name("cassia_requests_total")
          .help("Submissions answered, by result code.")
          .labelNames("code")
          .withoutExemplars()
          .register(registry);
  private final Histogram responseTimes =
      Histogram.builder()
          .name("cassia_response_time_seconds")
          .help("Time from the arrival of a submission to its answer.")
          .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)
          .classicOnly()
          .withoutExemplars()
          .register(registry);
  private final Counter sentMessages =
      Counter.builder()
          .name("cassia_messages_sent_total")
          .help("Messages handed to connections, by type.")
          .labelNames("type")
          .withoutExemplars()
          .register(registry);
  private final Counter receivedMessages =
      Counter.builder()
          .name("cassia_messages_received_total")
          .help("Messages that came from other processes, by type.")
          .labelNames("type")
          .withoutExemplars()
          .register(registry);
  private final Counter dispatches =
      Counter.builder()
          .name("cassia_dispatches_total")
          .help("Tasks handed to agents, resends included.")
          .withoutExemplars()
          .register(registry);
  private final Counter starts =
      Counter.builder()
          .name("cassia_task_starts_total")
          .help("Tasks that the start guard let start.")
          .withoutExemplars()
          .register(registry);
  private final Counter notStarted =
      Counter.builder()
          .name("cassia_tasks_not_started_total")
          .help("Proofs that a task did not start, sent or received, by reason.")
          .labelNames("reason")
          .withoutExemplars()
          .register(registry);

  private DaemonMetrics() {}

  /** Creates metrics in a registry of their own, with all counters at zero. */
  public static DaemonMetrics create() {
    return new DaemonMetrics();
  }

  /** Registers a gauge of the number of callers that wait for an answer. */
  public void registerWaitingCallers(IntSupplier waitingCallers) {
    GaugeWithCallback.builder()
        .name("cassia_waiting_callers")
        .help("Callers that wait for an answer.")
        .callback(callback -> callback.call(waitingCallers.getAsInt()))
        .register(registry);
  }

  /**
   * Returns the filter that counts every answered submission and records its response time.
   *
   * @param time source of the time at which an answer is ready
   */
  public RequestFilter<Request, JobAnswer> requestFilter(TimeSource time) {
    return (request, now, next) -> countAnswer(request, now, next, time);
  }

  /** Counts sent messages, dispatches and task starts; ignores other effects. */
  public void countEffect(Effect effect) {
    if (effect instanceof Send s) {
      countMessage(sentMessages, s.message());
    } else if (effect instanceof StartTask) {
      starts.inc();
    }
    if (effect instanceof Send s && s.message() instanceof Dispatch) {
      dispatches.inc();
    }
  }

  /** Counts a message that was received from another process. */
  public void countReceived(Message message) {
    countMessage(receivedMessages, message);
  }

  /** Returns all metrics in the text format of Prometheus. */
  public String prometheusText() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      // Writes to a byte array do not fail.
      throw new UncheckedIOException(e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }

  private Mono<JobAnswer> countAnswer(
      Request request, Instant now, FilterChain<Request, JobAnswer> next, TimeSource time) {
    return next.proceed(request, now)
        .doOnNext(
            answer -> {
              answers.labelValues(Integer.toString(answer.code().number())).inc();
              Duration responseTime = Duration.between(now, time.now());
              responseTimes.observe(responseTime.toNanos() / NANOS_PER_SECOND);
            });
  }

  private void countMessage(Counter counter, Message message) {
    counter.labelValues(message.getClass().getSimpleName()).inc();
    if (message instanceof TaskNotStarted m) {
      notStarted.labelValues(m.reason().name()).inc();
    }
  }
}
