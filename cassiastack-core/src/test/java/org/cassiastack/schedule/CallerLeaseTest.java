package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against times that do not fit into the time after which callers send jobs again. */
class CallerLeaseTest {
  private static final Instant NOW = Instant.parse("2026-12-06T08:00:00Z");

  /** Time in which an entry notices that a caller is gone. */
  private static final Duration LOSS_NOTICE = Duration.ofMillis(30);

  @Property(tries = 500)
  void all_runs_end_before_the_caller_sends_the_job_again(
      @ForAll @IntRange(min = 0, max = 10_000) int resendMillis,
      @ForAll @IntRange(min = 100, max = 3_000) int leaseMillis,
      @ForAll @IntRange(min = 3, max = 300) int marginMillis,
      @ForAll @IntRange(min = 0, max = 12_000) int ageMillis) {
    Duration resend = Duration.ofMillis(resendMillis);
    Duration margin = Duration.ofMillis(marginMillis);
    CallerLease lease = CallerLease.of(resend, Duration.ofMillis(leaseMillis), margin);
    if (lease == null) {
      return;
    }
    Duration age = Duration.ofMillis(ageMillis);

    Duration granted = lease.agentLease(NOW.minus(age), NOW);
    Duration ended = age.plus(ofSlowestClock(granted)).plus(margin).plus(LOSS_NOTICE);
    Duration startedUnderLongest =
        lease
            .startableFor()
            .plus(ofSlowestClock(lease.maxAgentLease()))
            .plus(margin)
            .plus(LOSS_NOTICE);

    assertThat(granted.isZero() || ended.compareTo(resend) <= 0).isTrue();
    assertThat(startedUnderLongest).isLessThanOrEqualTo(resend);
    assertThat(granted).isLessThanOrEqualTo(Duration.ofMillis(leaseMillis));
  }

  @Property(tries = 500)
  void a_job_is_given_up_while_the_leases_of_its_agents_are_still_of_use(
      @ForAll @IntRange(min = 0, max = 10_000) int resendMillis,
      @ForAll @IntRange(min = 100, max = 3_000) int leaseMillis) {
    CallerLease lease =
        CallerLease.of(
            Duration.ofMillis(resendMillis),
            Duration.ofMillis(leaseMillis),
            Duration.ofMillis(150));
    if (lease == null) {
      return;
    }

    Duration last = lease.agentLease(NOW.minus(lease.keptFor()), NOW);

    assertThat(last).isBetween(Duration.ofMillis(399), Duration.ofMillis(leaseMillis));
  }

  @Test
  void a_resend_delay_of_1_3_s_is_long_enough_for_leases_of_1_s() {
    CallerLease lease = of(1_300);

    assertThat(lease).isNotNull();
    assertThat(lease.keptFor()).isBetween(Duration.ofMillis(711), Duration.ofMillis(712));
    assertThat(lease.maxAgentLease()).isBetween(Duration.ofMillis(803), Duration.ofMillis(804));
  }

  @Test
  void a_resend_delay_of_1_s_is_too_short() {
    assertThat(of(1_000)).isNull();
  }

  private static CallerLease of(int resendMillis) {
    return CallerLease.of(
        Duration.ofMillis(resendMillis), Duration.ofSeconds(1), Duration.ofMillis(150));
  }

  /** Returns the time that passes while a clock that is 2 % slow shows a duration. */
  private static Duration ofSlowestClock(Duration duration) {
    return duration.multipliedBy(100).dividedBy(98);
  }
}
