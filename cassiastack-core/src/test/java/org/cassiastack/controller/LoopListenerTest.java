package org.cassiastack.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

class LoopListenerTest {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

  private final AtomicReference<Instant> now = new AtomicReference<>(START);
  private final BlockingQueue<LoopTurn> turns = new LinkedBlockingQueue<>();
  private final CountDownLatch handlingStarted = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);

  @Test
  void reports_how_long_an_event_waited_for_the_previous_event() throws InterruptedException {
    Controller slow = (event, at) -> event instanceof SlowEvent ? blockUntilReleased() : List.of();
    ControllerLoop loop =
        ControllerLoop.start("test", List.of(slow), e -> {}, now::get, e -> {}, turns::add);

    try (loop) {
      loop.post(new SlowEvent());
      handlingStarted.await();
      loop.post(new QuickEvent());
      now.set(START.plusMillis(300));
      released.countDown();

      LoopTurn first = turns.take();
      LoopTurn second = turns.take();

      assertThat(first)
          .isEqualTo(
              new LoopTurn(List.of(new SlowEvent()), Duration.ZERO, Duration.ofMillis(300), 1));
      assertThat(second)
          .isEqualTo(
              new LoopTurn(List.of(new QuickEvent()), Duration.ofMillis(300), Duration.ZERO, 0));
    }
  }

  private List<Effect> blockUntilReleased() {
    handlingStarted.countDown();
    try {
      released.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return List.of();
  }

  private record SlowEvent() implements Event {}

  private record QuickEvent() implements Event {}
}
