package org.cassiastack.daemon.queue;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.cassiastack.desk.CallerRequest;
import org.cassiastack.desk.DeskCode;

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

  private QueueMetrics() {}

  /** Makes counters that stand at zero. */
  public static QueueMetrics create() {
    return new QueueMetrics();
  }

  /** Counts an answer to a caller. */
  public void answered(CallerRequest.Kind kind, DeskCode code, Duration taken) {
    answers.labelValues(kind.name(), code.name()).inc();
    times.labelValues(kind.name()).observe(taken.toNanos() / 1e9);
  }

  /** Returns the page for Prometheus. */
  public byte[] text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  void decided(String event, String outcome) {
    decisions.labelValues(event, outcome).inc();
  }

  void lineDropped(String event) {
    droppedLines.labelValues(event).inc();
  }
}
