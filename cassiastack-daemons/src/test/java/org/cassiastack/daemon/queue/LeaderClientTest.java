package org.cassiastack.daemon.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AskJob;
import org.cassiastack.request.CallerRequest;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAbandoned;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.RequestAnswered;
import org.cassiastack.request.RequestArrival;
import org.cassiastack.request.RequestPosted;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

class LeaderClientTest {
  private final List<Event> events = new ArrayList<>();
  private final LeaderClient client = new LeaderClient(TimeSource.system(), events::add);
  private final Mono<RequestAnswer> request =
      client.request(id -> new AskJob(id, new QueueAddress("h", "/q/1")), Duration.ofSeconds(1));

  /** Guards against jobs that are kept for callers that are gone. */
  @Test
  void tells_the_controllers_that_the_caller_of_a_request_is_gone() {
    Disposable caller = request.subscribe();

    caller.dispose();

    assertThat(events).hasSize(2);
    assertThat(events.get(1)).isEqualTo(new RequestAbandoned(postedId()));
    assertThat(client.pendingRequests()).isZero();
  }

  @Test
  void a_request_that_was_answered_is_not_abandoned() {
    Disposable caller = request.subscribe();
    client.onAnswered(new RequestAnswered(postedId(), RequestAnswer.of(AnswerCode.ACCEPTED)));

    caller.dispose();

    assertThat(events).hasSize(1);
  }

  /** Guards against late requests of which the log of the entry does not tell when they came. */
  @Test
  void tells_the_controllers_how_a_request_of_the_filter_chain_came() {
    Instant read = Instant.parse("2026-12-07T15:13:20Z");
    RequestArrival arrival = new RequestArrival(read, null, null, Duration.ZERO);
    QueueAddress address = new QueueAddress("h", "/q/1");
    CallerRequest asked =
        new CallerRequest(
            CallerRequest.Kind.ASK,
            address,
            Duration.ofSeconds(1),
            false,
            arrival,
            id -> new AskJob(id, address));

    client.chain(List.of()).proceed(asked, read).subscribe();

    assertThat(((RequestPosted) events.get(0)).arrival()).isEqualTo(arrival);
  }

  private long postedId() {
    return ((RequestPosted) events.get(0)).request().requestId();
  }
}
