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
import java.util.Map;
import org.cassiastack.consensus.LogStats;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.LoopTurn;
import org.cassiastack.protocol.Received;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.CallerRequest;
import org.cassiastack.request.RequestPosted;
import org.cassiastack.schedule.PlacementStats;

/**
 * Metrics of one process of the durable queues. They are listed in docs/QUEUES.md.
 *
 * @since 0.2
 */
public final class QueueMetrics {
  /** Names of event types in labels where the type was renamed; a label keeps its value. */
  private static final Map<Class<?>, String> FORMER_NAMES = Map.of(RequestPosted.class, "DeskCall");

  /**
   * Upper bounds of the buckets of answer times, in seconds. Latency objectives range from 0.2 s to
   * 2 s, and an answer is useful for up to three times the objective.
   */
  private static final double[] ANSWER_TIME_BOUNDS = {0.01, 0.03, 0.1, 0.2, 0.5, 1, 2, 5, 10};

  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Upper bounds of the buckets of the times that events wait, in seconds. The loop handles an
   * event in far less than a millisecond, and a lease lasts one second.
   */
  private static final double[] LOOP_WAIT_BOUNDS = {0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1, 2};

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter answers =
      Counter.builder()
          .name("cassia_desk_answers_total")
          .help("Callers' requests answered, by kind and code.")
          .labelNames("kind", "code")
          .withoutExemplars()
          .register(registry);
  private final Histogram answerTimes =
      Histogram.builder()
          .name("cassia_desk_answer_seconds")
          .help("Time from a caller's request to its answer, by kind.")
          .labelNames("kind")
          .classicOnly()
          .classicUpperBounds(ANSWER_TIME_BOUNDS)
          .withoutExemplars()
          .register(registry);
  private final Counter decisions =
      Counter.builder()
          .name("cassia_decisions_total")
          .help("Decisions, by event and outcome.")
          .labelNames("event", "outcome")
          .withoutExemplars()
          .register(registry);
  private final Counter droppedLines =
      Counter.builder()
          .name("cassia_log_lines_dropped_total")
          .help("Log lines that were not written because there were too many, by event.")
          .labelNames("event")
          .withoutExemplars()
          .register(registry);

  private final Histogram loopWaits =
      Histogram.builder()
          .name("cassia_loop_wait_seconds")
          .help("Time that events wait for the thread of the controllers.")
          .classicOnly()
          .classicUpperBounds(LOOP_WAIT_BOUNDS)
          .withoutExemplars()
          .register(registry);
  private final Counter loopBusySeconds =
      Counter.builder()
          .name("cassia_loop_busy_seconds_total")
          .help("Time that the thread of the controllers spent, by kind of event.")
          .labelNames("event")
          .withoutExemplars()
          .register(registry);
  private final Counter loopEvents =
      Counter.builder()
          .name("cassia_loop_events_total")
          .help("Events that the controllers have handled, by kind.")
          .labelNames("event")
          .withoutExemplars()
          .register(registry);
  private final Gauge loopQueuedEvents =
      Gauge.builder()
          .name("cassia_loop_events_waiting")
          .help("Events that waited for the controllers when the last one was handled.")
          .withoutExemplars()
          .register(registry);
  private final Counter candidatesExamined =
      Counter.builder()
          .name("cassia_placing_candidates_total")
          .help("Workers that the leader looked at to place tasks.")
          .withoutExemplars()
          .register(registry);

  private final Gauge logEntries =
      Gauge.builder()
          .name("cassia_log_entries")
          .help("Entries of the replicated log after the last snapshot.")
          .withoutExemplars()
          .register(registry);
  private final Gauge logBytes =
      Gauge.builder()
          .name("cassia_log_bytes")
          .help("Size of the entries of the replicated log after the last snapshot.")
          .withoutExemplars()
          .register(registry);
  private final Gauge snapshotBytes =
      Gauge.builder()
          .name("cassia_snapshot_bytes")
          .help("Size of the last snapshot of the replicated log.")
          .withoutExemplars()
          .register(registry);

  private QueueMetrics() {}

  /** Creates metrics in a registry of their own, with all counters at zero. */
  public static QueueMetrics create() {
    return new QueueMetrics();
  }

  /** Counts an answer to a caller by kind and code, and records the time from request to answer. */
  public void recordAnswer(CallerRequest.Kind kind, AnswerCode code, Duration answerTime) {
    answers.labelValues(kind.name(), code.name()).inc();
    answerTimes.labelValues(kind.name()).observe(seconds(answerTime));
  }

  /** Returns all metrics in the text format of Prometheus. */
  public byte[] prometheusText() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  /**
   * Records the wait time and the handling time of a turn. The handling time is divided equally
   * among the events of the turn.
   */
  void recordLoopTurn(LoopTurn turn) {
    loopWaits.observe(seconds(turn.waitTime()));
    double secondsPerEvent = seconds(turn.handlingTime()) / turn.events().size();
    for (Event e : turn.events()) {
      String type = eventType(e);
      loopBusySeconds.labelValues(type).inc(secondsPerEvent);
      loopEvents.labelValues(type).inc();
    }
    loopQueuedEvents.set(turn.queuedEvents());
  }

  /** Adds the number of candidates that the leader examined to place tasks. */
  void recordPlacement(PlacementStats stats) {
    candidatesExamined.inc(stats.candidatesExamined());
  }

  /** Records the size of the replicated log of a control member. */
  void recordLog(LogStats stats) {
    logEntries.set((double) stats.entries());
    logBytes.set((double) stats.bytes());
    snapshotBytes.set((double) stats.snapshotBytes());
  }

  /**
   * Returns the simple name of the type of an event; for {@link Received}, that of the type of the
   * message.
   */
  static String eventType(Event event) {
    Class<?> type = event instanceof Received r ? r.message().getClass() : event.getClass();
    return FORMER_NAMES.getOrDefault(type, type.getSimpleName());
  }

  private static double seconds(Duration duration) {
    return Math.max(0, duration.toNanos()) / NANOS_PER_SECOND;
  }

  void countDecision(String event, String outcome) {
    decisions.labelValues(event, outcome).inc();
  }

  void countDroppedLine(String event) {
    droppedLines.labelValues(event).inc();
  }
}
