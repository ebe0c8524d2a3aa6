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
 * The counters of one daemon.
 *
 * <ol>
 *   <li>{@link #requestFilter} is the first filter of the chain: it counts answers by code and
 *       times.
 *   <li>{@link #countEffect} counts what controllers ask for, such as messages and task starts.
 *   <li>{@link #countReceived} counts messages that came.
 *   <li>{@link #prometheusText} is the page for Prometheus.
 * </ol>
 *
 * <p>Each daemon has a registry of its own, so that several can run in one process. The names are
 * listed in docs/METRICS.md.
 *
 * @since 0.1
 */
public final class DaemonMetrics {
  /** Media type of {@link #prometheusText}. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private static final double NANOS_PER_SECOND = 1e9;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requestFilter =
      Counter.builder()
          .name("cassia_requests_total")
          .help("Submissions answered, by result code.")
          .labelNames("code")
          .register(registry);
  private final Histogram responseTimes =
      Histogram.builder()
          .name("cassia_response_time_seconds")
          .help("Time from the arrival of a submission to its answer.")
          .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)
          .classicOnly()
          .register(registry);
  private final Counter sent =
      Counter.builder()
          .name("cassia_messages_sent_total")
          .help("Messages handed to connections, by type.")
          .labelNames("type")
          .register(registry);
  private final Counter countReceived =
      Counter.builder()
          .name("cassia_messages_received_total")
          .help("Messages that came from other processes, by type.")
          .labelNames("type")
          .register(registry);
  private final Counter dispatches =
      Counter.builder()
          .name("cassia_dispatches_total")
          .help("Tasks handed to agents, resends included.")
          .register(registry);
  private final Counter starts =
      Counter.builder()
          .name("cassia_task_starts_total")
          .help("Tasks that the start guard let start.")
          .register(registry);
  private final Counter notStarted =
      Counter.builder()
          .name("cassia_tasks_not_started_total")
          .help("Proofs that a task did not start, sent or received, by reason.")
          .labelNames("reason")
          .register(registry);

  private DaemonMetrics() {}

  /** Makes counters that stand at 0. */
  public static DaemonMetrics create() {
    return new DaemonMetrics();
  }

  /** Reports the number of callers that wait for an answer. */
  public void registerWaitingCallers(IntSupplier waiting) {
    GaugeWithCallback.builder()
        .name("cassia_waiting_callers")
        .help("Callers that wait for an answer.")
        .callback(callback -> callback.call(waiting.getAsInt()))
        .register(registry);
  }

  /** Returns the filter that counts and times every submission. */
  public RequestFilter<Request, JobAnswer> requestFilter(TimeSource time) {
    return (request, now, next) -> count(request, now, next, time);
  }

  /** Counts an effect. */
  public void countEffect(Effect effect) {
    if (effect instanceof Send s) {
      message(sent, s.message());
    } else if (effect instanceof StartTask) {
      starts.inc();
    }
    if (effect instanceof Send s && s.message() instanceof Dispatch) {
      dispatches.inc();
    }
  }

  /** Counts a message that came. */
  public void countReceived(Message message) {
    message(countReceived, message);
  }

  /** Returns all counters in the text format of Prometheus. */
  public String prometheusText() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      // An array takes every write.
      throw new UncheckedIOException(e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }

  private Mono<JobAnswer> count(
      Request request, Instant now, FilterChain<Request, JobAnswer> next, TimeSource time) {
    return next.proceed(request, now)
        .doOnNext(
            answer -> {
              requestFilter.labelValues(Integer.toString(answer.code().number())).inc();
              Duration took = Duration.between(now, time.now());
              responseTimes.observe(took.toNanos() / NANOS_PER_SECOND);
            });
  }

  private void message(Counter counter, Message message) {
    counter.labelValues(message.getClass().getSimpleName()).inc();
    if (message instanceof TaskNotStarted m) {
      notStarted.labelValues(m.reason().name()).inc();
    }
  }
}
