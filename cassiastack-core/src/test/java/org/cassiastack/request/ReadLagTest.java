package org.cassiastack.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ReadLagTest {
  private static final Instant START = Instant.parse("2026-12-05T08:00:00Z");

  private final ReadLag lag = ReadLag.startedAt(START);

  @Test
  void a_request_has_not_waited_longer_than_two_ticks_while_ticks_are_regular() {
    tick(200);
    tick(400);
    tick(600);

    assertThat(lag.arrivedSince(at(700))).isEqualTo(at(400));
    assertThat(lag.pauseBefore(at(700))).isZero();
  }

  @Test
  void a_request_that_is_read_before_the_first_tick_after_a_pause_may_have_waited_for_all_of_it() {
    tick(200);
    tick(400);

    assertThat(lag.arrivedSince(at(5_000))).isEqualTo(at(200));
    assertThat(lag.pauseBefore(at(5_000))).isEqualTo(Duration.ofMillis(4_800));
  }

  @Test
  void a_request_that_is_read_shortly_after_a_pause_may_have_waited_for_all_of_it() {
    tick(200);
    tick(400);
    tick(5_000);
    tick(5_200);

    assertThat(lag.arrivedSince(at(5_300))).isEqualTo(at(200));
    assertThat(lag.pauseBefore(at(5_300))).isEqualTo(Duration.ofMillis(4_800));
  }

  @Test
  void what_arrived_during_a_pause_has_been_read_after_the_time_to_catch_up() {
    tick(200);
    tick(5_000);
    for (int millis = 5_200; millis <= 6_000; millis += 200) {
      tick(millis);
    }

    assertThat(lag.arrivedSince(at(6_001))).isEqualTo(at(5_800));
    assertThat(lag.pauseBefore(at(6_001))).isZero();
  }

  @Test
  void pauses_in_close_succession_count_as_one() {
    tick(200);
    tick(2_000);
    tick(2_200);
    tick(4_000);

    assertThat(lag.arrivedSince(at(4_100))).isEqualTo(at(0));
  }

  private void tick(int millis) {
    lag.onTick(at(millis));
  }

  private static Instant at(int millis) {
    return START.plusMillis(millis);
  }
}
