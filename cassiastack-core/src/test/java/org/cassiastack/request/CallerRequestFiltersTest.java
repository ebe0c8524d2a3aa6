package org.cassiastack.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.filter.FilterChain;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

class CallerRequestFiltersTest {
  private static final Instant NOW = Instant.parse("2026-12-04T08:00:00Z");
  private static final FilterChain<CallerRequest, RequestAnswer> LEADER =
      (request, now) -> Mono.just(RequestAnswer.of(AnswerCode.ACCEPTED));

  @Test
  void refuses_every_request_while_the_condition_holds() {
    FilterChain<CallerRequest, RequestAnswer> chain =
        FilterChain.of(List.of(CallerRequestFilters.refuseWhile(() -> true)), LEADER);

    assertThat(code(chain, Duration.ofSeconds(1))).isEqualTo(AnswerCode.NO_LEADER);
  }

  @Test
  void refuses_a_request_whose_caller_has_no_time_left() {
    FilterChain<CallerRequest, RequestAnswer> chain =
        FilterChain.of(List.of(CallerRequestFilters.refuseExpired()), LEADER);

    assertThat(code(chain, Duration.ZERO)).isEqualTo(AnswerCode.TOO_LATE);
    assertThat(code(chain, Duration.ofMillis(-5))).isEqualTo(AnswerCode.TOO_LATE);
  }

  @Test
  void does_not_refuse_a_submission_that_was_delayed_until_its_caller_had_no_time_left() {
    FilterChain<CallerRequest, RequestAnswer> chain =
        FilterChain.of(List.of(CallerRequestFilters.refuseExpired()), LEADER);
    QueueAddress address = new QueueAddress("h", "/p/1");
    CallerRequest submission =
        new CallerRequest(
            CallerRequest.Kind.SUBMIT,
            address,
            Duration.ZERO,
            true,
            null,
            requestId -> new AskJob(requestId, address));

    AnswerCode code = chain.proceed(submission, NOW).block().code();

    assertThat(code).isEqualTo(AnswerCode.UNANSWERED);
  }

  @Test
  void passes_other_requests_on_to_the_leader() {
    FilterChain<CallerRequest, RequestAnswer> chain =
        FilterChain.of(
            List.of(
                CallerRequestFilters.refuseWhile(() -> false),
                CallerRequestFilters.refuseExpired()),
            LEADER);

    assertThat(code(chain, Duration.ofSeconds(1))).isEqualTo(AnswerCode.ACCEPTED);
  }

  private static AnswerCode code(
      FilterChain<CallerRequest, RequestAnswer> chain, Duration timeout) {
    QueueAddress address = new QueueAddress("h", "/p/1");
    CallerRequest request =
        new CallerRequest(
            CallerRequest.Kind.ASK,
            address,
            timeout,
            false,
            null,
            requestId -> new AskJob(requestId, address));
    return chain.proceed(request, NOW).block().code();
  }
}
