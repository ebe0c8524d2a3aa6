package org.cassiastack.schedule.faults;

import java.util.Random;
import java.util.Set;
import org.cassiastack.controller.Effect;

/**
 * Has half of the unanswered calls of some kinds carried out up to 12 s later. A call that arrives
 * while the minion is down is carried out as soon as the minion is up again.
 */
final class RandomLateCalls implements LateCalls {
  private static final int MAX_DELAY_MILLIS = 12_000;

  private final QueueSimulation simulation;
  private final Set<CallKind> kinds;
  private final Random random;

  RandomLateCalls(QueueSimulation simulation, Set<CallKind> kinds, Random random) {
    this.simulation = simulation;
    this.kinds = kinds;
    this.random = random;
  }

  @Override
  public boolean holdsBack(Effect call) {
    return false;
  }

  @Override
  public boolean take(Effect call, FakeMinion minion, Runnable execution) {
    if (kinds.stream().noneMatch(k -> k.includes(call)) || random.nextBoolean()) {
      return false;
    }
    int delay = random.nextInt(MAX_DELAY_MILLIS);
    simulation.runAfter(delay, () -> executeWhenUp(minion, execution));
    return true;
  }

  private void executeWhenUp(FakeMinion minion, Runnable execution) {
    long millisUntilUp = minion.incarnation().startedAtMillis() - simulation.millis();
    if (millisUntilUp > 0) {
      simulation.runAfter(millisUntilUp, () -> executeWhenUp(minion, execution));
    } else {
      execution.run();
    }
  }
}
