package org.cassiastack.daemon.queue;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.LoopTurn;
import org.cassiastack.protocol.Received;
import org.cassiastack.request.CallerRequest;
import org.cassiastack.request.DeskCode;
import org.cassiastack.schedule.PlacementStats;

/**
 * Counters and times of one process of the durable queues; docs/QUEUES.md lists them.
 *
 * @since 0.2
 */
public final class QueueMetrics {
  /**
   * Upper bounds in seconds: objectives are from 0.2 s to 2 s, usefulness ends at three of them.
   */
  private static final double[] BOUNDS = {0.01, 0.03, 0.1, 0.2, 0.5, 1, 2, 5, 10};

  private static final double NANOS_PER_SECOND = 1e9;

  /** Upper bounds in seconds: a turn takes far below a millisecond, a lease lasts a second. */
  private static final double[] LOOP_BOUNDS = {0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1, 2};

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter answers =
      Counter.builder()
          .name("cassia_desk_answers_total")
          .help("Callers' requests answered, by kind and code.")
          .labelNames("kind", "code")
          .register(registry);
  private final Histogram times =
      Histogram.builder()
          .name("cassia_desk_answer_seconds")
          .help("Time from a caller's request to its answer, by kind.")
          .labelNames("kind")
          .classicOnly()
          .classicUpperBounds(BOUNDS)
          .register(registry);
  private final Counter decisions =
      Counter.builder()
          .name("cassia_decisions_total")
          .help("Decisions, by event and outcome.")
          .labelNames("event", "outcome")
          .register(registry);
  private final Counter droppedLines =
      Counter.builder()
          .name("cassia_log_lines_dropped_total")
          .help("Log lines that were not written because there were too many, by event.")
          .labelNames("event")
          .register(registry);

  private final Histogram loopWaits =
      Histogram.builder()
          .name("cassia_loop_wait_seconds")
          .help("Time that events wait for the thread of the controllers.")
          .classicOnly()
          .classicUpperBounds(LOOP_BOUNDS)
          .register(registry);
  private final Counter loopSeconds =
      Counter.builder()
          .name("cassia_loop_busy_seconds_total")
          .help("Time that the thread of the controllers spent, by kind of event.")
          .labelNames("event")
          .register(registry);
  private final Counter loopEvents =
      Counter.builder()
          .name("cassia_loop_events_total")
          .help("Events that the controllers have handled, by kind.")
          .labelNames("event")
          .register(registry);
  private final Gauge loopWaiting =
      Gauge.builder()
          .name("cassia_loop_events_waiting")
          .help("Events that waited for the controllers when the last one was handled.")
          .register(registry);
  private final Counter placingCandidates =
      Counter.builder()
          .name("cassia_placing_candidates_total")
          .help("Workers that the leader looked at to place tasks.")
          .register(registry);

  private QueueMetrics() {}

  /** Makes counters that stand at zero. */
  public static QueueMetrics create() {
    return new QueueMetrics();
  }

  /** Counts an answer to a caller. */
  public void recordAnswer(CallerRequest.Kind kind, DeskCode code, Duration taken) {
    answers.labelValues(kind.name(), code.name()).inc();
    times.labelValues(kind.name()).observe(seconds(taken));
  }

  /** Returns the page for Prometheus. */
  public byte[] prometheusText() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  /** Takes note of an event that the controllers have handled. */
  void recordLoopTurn(LoopTurn turn) {
    String kind = eventType(turn.event());
    loopWaits.observe(seconds(turn.waitTime()));
    loopSeconds.labelValues(kind).inc(seconds(turn.handlingTime()));
    loopEvents.labelValues(kind).inc();
    loopWaiting.set(turn.queuedEvents());
  }

  /** Takes note of what the leader looked at to place tasks. */
  void recordPlacement(PlacementStats work) {
    placingCandidates.inc(work.candidatesExamined());
  }

  /** Names an event by its type; one that brings a message by the type of the message. */
  static String eventType(Event event) {
    return event instanceof Received r
        ? r.message().getClass().getSimpleName()
        : event.getClass().getSimpleName();
  }

  private static double seconds(Duration time) {
    return Math.max(0, time.toNanos()) / NANOS_PER_SECOND;
  }

  void countDecision(String event, String outcome) {
    decisions.labelValues(event, outcome).inc();
  }

  void countDroppedLine(String event) {
    droppedLines.labelValues(event).inc();
  }
}
