package org.cassiastack.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class CallFenceTest {
  private static final Instant NOW = Instant.parse("2026-12-06T20:00:00Z");

  /** Largest number that JSON readers with floating-point numbers tell from the next one. */
  private static final long MAX_EXACT_IN_JSON = (1L << 53) - 1;

  private final CallFence fence = new CallFence();

  /** Guards against a fence that overflows, or that a minion reads as another number. */
  @Test
  void a_minion_that_refuses_every_call_for_hours_does_not_drive_the_fence_out_of_its_range() {
    Instant now = NOW;
    fence.raise(now);

    for (int i = 0; i < 100_000; i++) {
      long before = fence.forCall();
      now = now.plusMillis(75);
      fence.raiseAfterRefusal(before, now);
      assertThat(fence.forCall()).isGreaterThan(before).isLessThan(MAX_EXACT_IN_JSON);
    }
  }

  @Test
  void it_rises_with_each_refusal_also_while_the_clock_is_set_far_ahead() {
    Instant future = Instant.parse("2200-01-01T00:00:00Z");
    fence.raise(future);

    for (int i = 0; i < 5_000; i++) {
      long before = fence.forCall();
      fence.raiseAfterRefusal(before, future);
      assertThat(fence.forCall()).isGreaterThan(before);
    }
  }

  /** Guards against calls below the fence of a leader whose clock is ahead of the agent's. */
  @Test
  void it_is_never_below_the_fence_of_the_holder() {
    long holderFence = 8_000_000_000_000_000L;
    fence.raise(NOW);
    fence.onHolder(holderFence, NOW);
    long first = fence.forCall();

    fence.raise(NOW.minus(Duration.ofDays(1)));
    long raised = fence.forCall();
    fence.raiseAfterRefusal(raised, NOW);
    long afterRefusal = fence.forCall();

    assertThat(first).isGreaterThanOrEqualTo(holderFence);
    assertThat(raised).isGreaterThan(first);
    assertThat(afterRefusal).isGreaterThan(raised);
  }

  /** Guards against calls that fall below those of the next holder. */
  @Test
  void it_rises_for_a_holder_with_a_lower_fence_too() {
    fence.onHolder(5, NOW);
    long former = fence.forCall();

    fence.onHolder(6, NOW);

    assertThat(fence.forCall()).isGreaterThan(former);
  }

  /** Guards against a fence that leaps by weeks for a call that is overtaken now and then. */
  @Test
  void a_call_that_is_carried_out_begins_the_steps_anew() {
    fence.raise(NOW);
    long before = fence.forCall();
    fence.raiseAfterRefusal(before, NOW);
    long firstStep = fence.forCall() - before;
    for (int i = 0; i < 20; i++) {
      fence.raiseAfterRefusal(fence.forCall(), NOW);
    }

    fence.onAccepted();

    long last = fence.forCall();
    fence.raiseAfterRefusal(last, NOW);
    assertThat(fence.forCall() - last).isLessThanOrEqualTo(firstStep);
  }
}
