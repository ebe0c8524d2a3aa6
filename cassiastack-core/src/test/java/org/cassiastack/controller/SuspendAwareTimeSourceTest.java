package org.cassiastack.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class SuspendAwareTimeSourceTest {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

  private Instant wall = START;
  private long nanos = 1_000;
  private final TimeSource time = SuspendAwareTimeSource.of(() -> wall, () -> nanos);

  @Test
  void advances_with_the_monotonic_clock() {
    advanceBothClocks(Duration.ofSeconds(2));

    assertThat(time.now()).isEqualTo(START.plusSeconds(2));
  }

  @Test
  void counts_the_time_for_which_the_machine_was_suspended() {
    advanceBothClocks(Duration.ofSeconds(1));
    time.now();
    wall = wall.plusSeconds(5);

    assertThat(time.now()).isEqualTo(START.plusSeconds(6));
  }

  @Test
  void tells_how_far_it_has_leaped_ahead_of_the_monotonic_clock() {
    advanceBothClocks(Duration.ofSeconds(1));
    time.now();
    wall = wall.plusSeconds(5);
    time.now();

    assertThat(time.totalLeap()).isEqualTo(Duration.ofSeconds(5));
  }

  @Test
  void does_not_go_back_with_the_wall_clock() {
    time.now();
    wall = wall.minusSeconds(5);
    time.now();
    advanceBothClocks(Duration.ofSeconds(1));

    assertThat(time.now()).isEqualTo(START.plusSeconds(1));
  }

  @Test
  void ignores_small_corrections_of_the_wall_clock() {
    time.now();
    wall = wall.plusMillis(40);

    assertThat(time.now()).isEqualTo(START);
  }

  private void advanceBothClocks(Duration duration) {
    wall = wall.plus(duration);
    nanos += duration.toNanos();
  }
}
