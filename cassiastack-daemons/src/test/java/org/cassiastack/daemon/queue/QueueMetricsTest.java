package org.cassiastack.daemon.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cassiastack.controller.LoopTurn;
import org.cassiastack.controller.Tick;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.decision.Decision;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AskQueueConfiguration;
import org.cassiastack.request.CallerRequest;
import org.cassiastack.request.RequestPosted;
import org.cassiastack.schedule.PlacementStats;
import org.junit.jupiter.api.Test;

class QueueMetricsTest {
  private final QueueMetrics metrics = QueueMetrics.create();

  @Test
  void the_table_in_the_documentation_lists_every_metric_and_no_other() throws IOException {
    String source =
        Files.readString(Path.of("src/main/java/org/cassiastack/daemon/queue/QueueMetrics.java"));
    String table = Files.readString(Path.of("../docs/QUEUES.md"));

    assertThat(names("`(cassia_[a-z_]+)`", table))
        .isEqualTo(names("\"(cassia_[a-z_]+)\"", source))
        .isNotEmpty();
  }

  @Test
  void counts_each_refusal_by_its_code() {
    metrics.recordAnswer(CallerRequest.Kind.SUBMIT, AnswerCode.OVERLOADED, Duration.ofMillis(3));

    assertThat(prometheusText())
        .contains("cassia_desk_answers_total{code=\"OVERLOADED\",kind=\"SUBMIT\"} 1.0");
  }

  @Test
  void counts_decisions_whose_log_lines_exceed_the_rate_limit() {
    DecisionLog log = new DecisionLog(LogRateLimiter.create(TimeSource.system(), metrics), metrics);

    for (int i = 0; i < 2_000; i++) {
      log.write(Decision.of("run_gone", i, "not_there", ""));
    }

    assertThat(prometheusText())
        .contains("cassia_decisions_total{event=\"run_gone\",outcome=\"not_there\"} 2000.0")
        .contains("cassia_log_lines_dropped_total{event=\"run_gone\"}");
  }

  @Test
  void divides_the_time_of_a_turn_among_its_events_under_the_labels_that_dashboards_use() {
    RequestPosted request = new RequestPosted(new AskQueueConfiguration(1), Instant.EPOCH);
    metrics.recordLoopTurn(
        new LoopTurn(List.of(request, new Tick()), Duration.ZERO, Duration.ofSeconds(4), 0));

    assertThat(prometheusText())
        .contains("cassia_loop_busy_seconds_total{event=\"DeskCall\"} 2.0")
        .contains("cassia_loop_busy_seconds_total{event=\"Tick\"} 2.0");
  }

  @Test
  void answers_and_observations_start_no_thread_of_the_metrics_library() {
    metrics.recordAnswer(CallerRequest.Kind.SUBMIT, AnswerCode.OVERLOADED, Duration.ofMillis(3));
    metrics.recordLoopTurn(
        new LoopTurn(List.of(new Tick()), Duration.ofMillis(1), Duration.ofMillis(1), 0));
    metrics.countDecision("run_gone", "not_there");
    metrics.countDroppedLine("run_gone");
    metrics.recordPlacement(new PlacementStats(1));

    // The timer of the exemplars would wake up the process about 26 times a second.
    assertThat(Thread.getAllStackTraces().keySet())
        .extracting(Thread::getName)
        .noneMatch(name -> name.startsWith("prometheus-metrics"));
  }

  private String prometheusText() {
    return new String(metrics.prometheusText(), StandardCharsets.UTF_8);
  }

  private static Set<String> names(String pattern, String text) {
    Set<String> found = new TreeSet<>();
    for (Matcher m = Pattern.compile(pattern).matcher(text); m.find(); ) {
      found.add(m.group(1));
    }
    return found;
  }
}
