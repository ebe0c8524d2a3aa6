package org.cassiastack.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

@Timeout(30)
class ControllerLoopTest {
  private static final Instant START = Instant.parse("2026-12-05T08:00:00Z");
  private static final Duration INTERVAL = Duration.ofMillis(1);

  private final BlockingQueue<LoopTurn> turns = new LinkedBlockingQueue<>();
  private final CountDownLatch started = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);

  @Test
  void events_that_wait_for_the_loop_are_handled_in_one_turn() throws InterruptedException {
    try (ControllerLoop loop = start(new BlockedController())) {
      loop.post(new Numbered(0));
      started.await();
      for (int i = 1; i <= 3; i++) {
        loop.post(new Numbered(i));
      }
      released.countDown();

      assertThat(turns.take().events()).containsExactly(new Numbered(0));
      assertThat(turns.take().events())
          .containsExactly(new Numbered(1), new Numbered(2), new Numbered(3));
    }
  }

  @Test
  void an_event_is_handled_at_the_present_time_even_after_a_pause_within_its_turn()
      throws InterruptedException {
    AtomicReference<Instant> clock = new AtomicReference<>(START);
    BlockedController controller = new BlockedController();
    controller.afterEach = () -> clock.updateAndGet(t -> t.plusSeconds(5));
    try (ControllerLoop loop =
        ControllerLoop.start(
            "test", List.of(controller), e -> {}, clock::get, e -> {}, turns::add)) {
      loop.post(new Numbered(0));
      started.await();
      loop.post(new Numbered(1));
      loop.post(new Numbered(2));
      released.countDown();
      turns.take();
      turns.take();

      assertThat(controller.times)
          .containsExactly(START, START.plusSeconds(5), START.plusSeconds(10));
    }
  }

  @Test
  void a_turn_is_ended_once_for_all_its_events_and_again_for_what_that_raises()
      throws InterruptedException {
    EndCounter controller = new EndCounter();
    try (ControllerLoop loop = start(controller)) {
      loop.post(new Numbered(0));
      turns.take();

      assertThat(controller.ends.get()).isEqualTo(2);
      assertThat(controller.handled).containsExactly(new Numbered(0), new Numbered(1));
    }
  }

  @Test
  void a_controller_that_needs_no_tick_gets_none() throws InterruptedException {
    TickCounter controller = new TickCounter(3);
    try (ControllerLoop loop = start(controller)) {
      loop.tickEvery(INTERVAL);
      controller.ticked.await();

      LoopTurn next = pollAfterTicks(3);

      assertThat(next).isNull();
      assertThat(controller.count.get()).isEqualTo(3);
    }
  }

  @ParameterizedTest
  @MethodSource("failures")
  void a_failure_in_a_controller_does_not_stop_the_loop(Throwable failure)
      throws InterruptedException {
    try (ControllerLoop loop = start(new FailingController(failure))) {
      loop.post(new Numbered(0));
      loop.post(new Numbered(1));
      loop.post(new Numbered(2));

      for (int handled = 0; handled < 3; ) {
        handled += turns.take().events().size();
      }

      assertThat(turns).isEmpty();
    }
  }

  static List<Throwable> failures() {
    return List.of(new IllegalStateException("failed"), new StackOverflowError());
  }

  @Test
  void a_failure_of_the_listener_does_not_stop_the_loop() throws InterruptedException {
    LoopListener failing =
        turn -> {
          turns.add(turn);
          throw new IllegalStateException("failed");
        };
    Controller idle = (event, now) -> List.of();
    try (ControllerLoop loop =
        ControllerLoop.start(
            "test", List.of(idle), e -> {}, TimeSource.system(), e -> {}, failing)) {
      loop.post(new Numbered(0));
      turns.take();
      loop.post(new Numbered(1));

      assertThat(turns.take().events()).containsExactly(new Numbered(1));
    }
  }

  private LoopTurn pollAfterTicks(int ticks) throws InterruptedException {
    for (int i = 0; i < ticks; i++) {
      turns.take();
    }
    return turns.poll(50, TimeUnit.MILLISECONDS);
  }

  private ControllerLoop start(Controller controller) {
    return ControllerLoop.start(
        "test", List.of(controller), e -> {}, TimeSource.system(), e -> {}, turns::add);
  }

  private record Numbered(int number) implements Event {}

  /** Blocks in the first event until the test releases it. */
  private final class BlockedController implements Controller {
    final List<Instant> times = new ArrayList<>();
    Runnable afterEach = () -> {};

    @Override
    public List<Effect> on(Event event, Instant now) {
      times.add(now);
      started.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      afterEach.run();
      return List.of();
    }
  }

  /** Fails in each event. */
  private record FailingController(Throwable failure) implements Controller {
    @Override
    public List<Effect> on(Event event, Instant now) {
      if (failure instanceof Error e) {
        throw e;
      }
      throw (RuntimeException) failure;
    }
  }

  /** Raises one event at the end of its first turn. */
  private static final class EndCounter implements Controller {
    final AtomicInteger ends = new AtomicInteger();
    final List<Event> handled = new ArrayList<>();

    @Override
    public List<Effect> on(Event event, Instant now) {
      handled.add(event);
      return List.of();
    }

    @Override
    public List<Effect> endTurn(Instant now) {
      return ends.incrementAndGet() == 1 ? List.of(new Raise(new Numbered(1))) : List.of();
    }
  }

  /** Needs a number of ticks. */
  private static final class TickCounter implements Controller {
    final AtomicInteger count = new AtomicInteger();
    final CountDownLatch ticked;
    private final int needed;

    TickCounter(int needed) {
      this.needed = needed;
      this.ticked = new CountDownLatch(needed);
    }

    @Override
    public List<Effect> on(Event event, Instant now) {
      if (event instanceof Tick) {
        count.incrementAndGet();
        ticked.countDown();
      }
      return List.of();
    }

    @Override
    public Instant nextTickAt(Instant now) {
      return count.get() < needed ? now : Instant.MAX;
    }
  }
}
