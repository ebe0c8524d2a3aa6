package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cassiastack.model.FailureDomain;

/**
 * Runs operators that order failure domains out of service and back, while their orders lie in
 * paused members or on the way for seconds and leaders change. Guards against old orders that undo
 * newer ones.
 */
class DomainOrderProperties {
  private static final int START_MILLIS = 4_000;
  private static final int STEP_MILLIS = 10;
  private static final int ORDERS_MILLIS = 60_000;
  private static final int SETTLE_MILLIS = 12_000;
  private static final int MEAN_IDLE_MILLIS = 300;

  @Property(tries = 60, shrinking = ShrinkingMode.OFF, seed = "34")
  void no_order_takes_effect_after_a_newer_order_for_its_domain_was_acknowledged(
      @ForAll long seed) {
    runSimulation(seed);
  }

  static void runSimulation(long seed) {
    QueueSimulation simulation = QueueSimulation.create(seed);
    Random random = new Random(seed + 1);
    simulation.run(START_MILLIS);
    simulation.configure(1);
    simulation.run(200);
    List<SimulatedOperator> operators =
        List.of(
            new SimulatedOperator(simulation, new FailureDomain("domain0"), random),
            new SimulatedOperator(simulation, new FailureDomain("domain1"), random));
    operators.forEach(o -> o.delayOrders(30));

    while (simulation.millis() < ORDERS_MILLIS) {
      if (random.nextInt(150) == 0) {
        injectFault(simulation, random);
      }
      for (SimulatedOperator o : operators) {
        o.advance();
        if (!o.isActive() && random.nextInt(MEAN_IDLE_MILLIS / STEP_MILLIS) == 0) {
          checkLastOrder(simulation, o);
          o.begin(!o.out());
        }
      }
      simulation.run(STEP_MILLIS);
    }

    simulation.members().forEach(SimulatedNode::start);
    simulation.reconnectAll();
    run(simulation, operators, SETTLE_MILLIS);
    for (SimulatedOperator o : operators) {
      o.delayOrders(0);
      o.begin(!o.out());
      run(simulation, List.of(o), SimulatedOperator.ACKNOWLEDGEMENT_MILLIS);
      assertThat(o.isAcknowledged()).as(simulation + " last order for " + o.domain()).isTrue();
    }
    run(simulation, operators, SETTLE_MILLIS);
    operators.forEach(o -> checkLastOrder(simulation, o));
  }

  private static void run(
      QueueSimulation simulation, List<SimulatedOperator> operators, int millis) {
    long end = simulation.millis() + millis;
    while (simulation.millis() < end) {
      operators.forEach(SimulatedOperator::advance);
      simulation.run(STEP_MILLIS);
    }
  }

  /** Checks that the domain still is as the last order states, if that order was acknowledged. */
  private static void checkLastOrder(QueueSimulation simulation, SimulatedOperator o) {
    if (o.isAcknowledged()) {
      assertThat(simulation.ledger().isOutOfService(o.domain()))
          .as(simulation + " " + o.domain() + " " + o.millisSinceOrder() + " ms after the order")
          .isEqualTo(o.out());
    }
  }

  private static void injectFault(QueueSimulation simulation, Random random) {
    SimulatedNode member = simulation.members().get(random.nextInt(QueueSimulation.MEMBERS));
    boolean allMembersUp = simulation.members().stream().allMatch(SimulatedNode::isUp);
    switch (random.nextInt(5)) {
      case 0 -> {
        if (allMembersUp) {
          member.kill();
          simulation.runAfter(300 + random.nextInt(1_500), member::start);
        }
      }
      case 1 -> {
        member.pause();
        simulation.runAfter(500 + random.nextInt(6_100), member::resume);
      }
      case 2, 3 -> {
        for (SimulatedNode other : simulation.members()) {
          simulation.network().slowLink(member, other, 200 + random.nextInt(700));
          simulation.runAfter(
              500 + random.nextInt(3_000), () -> simulation.network().slowLink(member, other, 0));
        }
      }
      default -> {
        for (SimulatedNode other : simulation.members()) {
          if (other != member) {
            simulation.cutLink(member, other);
          }
        }
        simulation.runAfter(500 + random.nextInt(3_000), simulation::reconnectAll);
      }
    }
  }
}
