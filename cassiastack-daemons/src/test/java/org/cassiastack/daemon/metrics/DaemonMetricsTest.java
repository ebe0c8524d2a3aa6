package org.cassiastack.daemon.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.cassiastack.filter.FilterChain;
import org.cassiastack.filter.Request;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobId;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Task;
import org.cassiastack.model.TaskId;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.TaskNotStarted;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

class DaemonMetricsTest {
  private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
  private static final Pattern NAME_IN_SOURCE =
      Pattern.compile("\\.name\\(\"(cassia_[a-z_]+)\"\\)");
  private static final Pattern NAME_IN_TABLE = Pattern.compile("(?m)^\\| `(cassia_[a-z_]+)` \\|");

  private final DaemonMetrics metrics = DaemonMetrics.create();

  @Test
  void the_table_in_the_documentation_lists_every_metric_and_no_other() throws IOException {
    String source =
        Files.readString(
            Path.of("src/main/java/org/cassiastack/daemon/metrics/DaemonMetrics.java"));
    String table = Files.readString(Path.of("../docs/METRICS.md"));

    assertThat(names(NAME_IN_TABLE, table)).isEqualTo(names(NAME_IN_SOURCE, source)).isNotEmpty();
  }

  @Test
  void counts_a_refusal_by_its_result_code() {
    FilterChain<Request, JobAnswer> chain =
        chainReturning(JobAnswer.failed(job().key(), Refusals.stopping()));

    chain.proceed(Request.of(job()), NOW).block();

    assertThat(metrics.prometheusText()).contains("cassia_requests_total{code=\"210\"} 1.0");
  }

  @Test
  void measures_the_time_from_arrival_to_answer() {
    FilterChain<Request, JobAnswer> chain =
        chainReturning(JobAnswer.complete(job().key(), List.of()));

    chain.proceed(Request.of(job()), NOW).block();

    assertThat(metrics.prometheusText())
        .contains("cassia_response_time_seconds_bucket{le=\"1.0\"} 0")
        .contains("cassia_response_time_seconds_bucket{le=\"2.5\"} 1");
  }

  @Test
  void counts_a_task_that_did_not_start_by_its_reason() {
    TaskId task = new TaskId(JobId.of(job()), 0);
    TaskNotStarted proof = new TaskNotStarted(task, new Epoch(1), 1, ResultCode.GUARD_FULL);

    metrics.countEffect(new Send(new NodeId("entry-1"), proof));

    assertThat(metrics.prometheusText())
        .contains("cassia_tasks_not_started_total{reason=\"GUARD_FULL\"} 1.0")
        .contains("cassia_messages_sent_total{type=\"TaskNotStarted\"} 1.0");
  }

  private FilterChain<Request, JobAnswer> chainReturning(JobAnswer answer) {
    Instant answeredAt = NOW.plusSeconds(2);
    return FilterChain.of(
        List.of(metrics.requestFilter(() -> answeredAt)), (request, now) -> Mono.just(answer));
  }

  private static Job job() {
    return new Job(
        JobKey.of(NOW, 1, 1),
        new Customer("ayaz"),
        new ServiceName("ice"),
        Duration.ofSeconds(60),
        true,
        List.of(new Task(0, Payload.EMPTY)));
  }

  private static Set<String> names(Pattern pattern, String text) {
    return pattern
        .matcher(text)
        .results()
        .map((MatchResult m) -> m.group(1))
        .collect(Collectors.toCollection(TreeSet::new));
  }
}
