package org.cassiastack.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.configuration.CustomerSpec;
import org.cassiastack.configuration.FailureDomainSpec;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.membership.AvailableMinion;
import org.cassiastack.membership.MinionsChanged;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Task;
import org.cassiastack.model.TaskId;
import org.cassiastack.model.Worker;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.TaskEnded;
import org.cassiastack.routing.MinionPicker;
import org.cassiastack.routing.MinionPickers;

class DispatchProperties {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final ServiceName ICE = new ServiceName("ice");
  private static final Customer LIMITED = new Customer("limited");
  private static final int MINIONS = 4;
  private static final int SLOTS = 3;
  private static final int MAX_IN_FLIGHT = 5;

  @Property(seed = "20261204", tries = 100)
  void stays_within_slots_quotas_and_failure_domains_in_service(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Simulation simulation =
        new Simulation(MinionPickers.avoidingSlow(MinionPickers.earliestFinish()), seed, true);

    simulation.run();

    assertThat(simulation.violations).isEmpty();
  }

  @Property(seed = "20261204", tries = 50)
  void completes_the_same_tasks_as_the_random_picker(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Simulation randomChoice =
        new Simulation(MinionPickers.random(new SplittableRandom(seed)), seed, false);
    Simulation earliestFinish =
        new Simulation(MinionPickers.avoidingSlow(MinionPickers.earliestFinish()), seed, false);

    randomChoice.run();
    earliestFinish.run();

    assertThat(earliestFinish.completedTasks).isEqualTo(randomChoice.completedTasks).isNotEmpty();
  }

  private static final class Simulation {
    private final List<String> violations = new ArrayList<>();
    private final Set<TaskId> completedTasks = new HashSet<>();
    private final JobCoordinator coordinator;
    private final SplittableRandom random;
    private final boolean domainsChange;
    private final Map<TaskId, Dispatch> runningTasks = new HashMap<>();
    private final Deque<TaskId> startOrder = new ArrayDeque<>();
    private Set<Integer> domainsOutOfService = Set.of();
    private Instant now = START;

    Simulation(MinionPicker picker, long seed, boolean domainsChange) {
      coordinator = JobCoordinator.create(new Epoch(1), picker, Duration.ofMinutes(10));
      random = new SplittableRandom(seed);
      this.domainsChange = domainsChange;
    }

    void run() {
      configure(Set.of());
      Map<NodeId, Incarnation> agents = new HashMap<>();
      minions().forEach(m -> agents.put(m.agent(), m.incarnation()));
      on(new MinionsChanged(minions(), agents));
      for (int i = 0; i < 20; i++) {
        now = now.plusMillis(random.nextInt(200));
        on(new JobSubmitted(new CallerRequestId(i), job(i)));
        completeTasks(random.nextInt(4));
        if (domainsChange && random.nextInt(4) == 0) {
          configure(random.nextBoolean() ? Set.of() : Set.of(random.nextInt(MINIONS)));
        }
      }
      configure(Set.of());
      for (int i = 0; i < 1_000; i++) {
        now = now.plusMillis(20);
        completeTasks(2);
        on(new Tick());
      }
    }

    private void completeTasks(int count) {
      for (int i = 0; i < count && !startOrder.isEmpty(); i++) {
        TaskId id = startOrder.remove();
        Dispatch d = runningTasks.remove(id);
        if (d != null) {
          completedTasks.add(id);
          NodeId agent = new NodeId("agent-" + d.minion().name());
          on(new Received(agent, new TaskEnded(id, d.epoch(), ResultCode.COMPLETE, d.payload())));
        }
      }
    }

    private void on(Event event) {
      for (Effect e : coordinator.on(event, now)) {
        if (e instanceof Send s && s.message() instanceof Dispatch d) {
          checkDispatch(d);
        }
      }
    }

    private void checkDispatch(Dispatch d) {
      if (runningTasks.put(d.task(), d) != null) {
        return;
      }
      startOrder.add(d.task());
      long onSameMinion =
          runningTasks.values().stream().filter(r -> r.minion().equals(d.minion())).count();
      long ofLimitedCustomer =
          runningTasks.keySet().stream().filter(t -> t.job().customer().equals(LIMITED)).count();
      if (onSameMinion > SLOTS) {
        violations.add("more tasks at a minion than it has slots: " + d);
      }
      if (ofLimitedCustomer > MAX_IN_FLIGHT) {
        violations.add("more tasks in flight than the quota allows: " + d);
      }
      if (domainsOutOfService.contains(Integer.parseInt(d.minion().name()))) {
        violations.add("in a failure domain that is out of service: " + d);
      }
    }

    private void configure(Set<Integer> newDomainsOutOfService) {
      domainsOutOfService = newDomainsOutOfService;
      Map<FailureDomain, FailureDomainSpec> domains = new HashMap<>();
      for (int i = 0; i < MINIONS; i++) {
        FailureDomain d = new FailureDomain("domain-" + i);
        domains.put(d, new FailureDomainSpec(d, "steppe", !newDomainsOutOfService.contains(i)));
      }
      CustomerSpec limited = new CustomerSpec(LIMITED, 100_000, MAX_IN_FLIGHT);
      on(
          new ConfigurationChanged(
              new Configuration(new Revision(1), Map.of(), domains, Map.of(LIMITED, limited))));
    }

    private Job job(int number) {
      List<Task> tasks = new ArrayList<>();
      int count = random.nextInt(1, 10);
      for (int i = 0; i < count; i++) {
        tasks.add(new Task(i, Payload.ofText("task " + i)));
      }
      Customer customer = number % 2 == 0 ? LIMITED : new Customer("free");
      JobKey key = JobKey.of(START, 1, number);
      return new Job(key, customer, ICE, Duration.ofMinutes(5), true, tasks);
    }

    private static List<AvailableMinion> minions() {
      List<AvailableMinion> all = new ArrayList<>();
      for (int i = 0; i < MINIONS; i++) {
        Worker w = new Worker("w" + i, "rack", new FailureDomain("domain-" + i), 32, 65_536);
        Minion m = new Minion(new MinionId(Integer.toString(i)), ICE, w, SLOTS, 64);
        all.add(new AvailableMinion(new NodeId("agent-" + i), new Incarnation(1), m));
      }
      return all;
    }
  }
}
