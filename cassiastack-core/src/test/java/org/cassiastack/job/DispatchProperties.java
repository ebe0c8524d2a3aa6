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
  private static final int MOST_IN_FLIGHT = 5;

  @Property(seed = "20261204", tries = 100)
  void stays_within_slots_quotas_and_failure_domains_in_service(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Run run = new Run(MinionPickers.avoidingSlow(MinionPickers.earliestFinish()), seed, true);

    run.play();

    assertThat(run.violations).isEmpty();
  }

  @Property(seed = "20261204", tries = 50)
  void completes_the_same_tasks_as_the_naive_picker(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Run naive = new Run(MinionPickers.random(new SplittableRandom(seed)), seed, false);
    Run measured = new Run(MinionPickers.avoidingSlow(MinionPickers.earliestFinish()), seed, false);

    naive.play();
    measured.play();

    assertThat(measured.done).isEqualTo(naive.done).isNotEmpty();
  }

  private static final class Run {
    private final List<String> violations = new ArrayList<>();
    private final Set<TaskId> done = new HashSet<>();
    private final JobCoordinator coordinator;
    private final SplittableRandom random;
    private final boolean domainsChange;
    private final Map<TaskId, Dispatch> running = new HashMap<>();
    private final Deque<TaskId> order = new ArrayDeque<>();
    private Set<Integer> out = Set.of();
    private Instant now = START;

    Run(MinionPicker picker, long seed, boolean domainsChange) {
      coordinator = JobCoordinator.create(new Epoch(1), picker, Duration.ofMinutes(10));
      random = new SplittableRandom(seed);
      this.domainsChange = domainsChange;
    }

    void play() {
      configure(Set.of());
      Map<NodeId, Incarnation> agents = new HashMap<>();
      minions().forEach(m -> agents.put(m.agent(), m.incarnation()));
      on(new MinionsChanged(minions(), agents));
      for (int i = 0; i < 20; i++) {
        now = now.plusMillis(random.nextInt(200));
        on(new JobSubmitted(new CallerId(i), job(i)));
        endSome(random.nextInt(4));
        if (domainsChange && random.nextInt(4) == 0) {
          configure(random.nextBoolean() ? Set.of() : Set.of(random.nextInt(MINIONS)));
        }
      }
      configure(Set.of());
      for (int i = 0; i < 1_000; i++) {
        now = now.plusMillis(20);
        endSome(2);
        on(new Tick());
      }
    }

    private void endSome(int count) {
      for (int i = 0; i < count && !order.isEmpty(); i++) {
        TaskId id = order.remove();
        Dispatch d = running.remove(id);
        if (d != null) {
          done.add(id);
          NodeId agent = new NodeId("agent-" + d.minion().name());
          on(new Received(agent, new TaskEnded(id, d.epoch(), ResultCode.COMPLETE, d.payload())));
        }
      }
    }

    private void on(Event event) {
      for (Effect e : coordinator.on(event, now)) {
        if (e instanceof Send s && s.message() instanceof Dispatch d) {
          dispatched(d);
        }
      }
    }

    private void dispatched(Dispatch d) {
      if (running.put(d.task(), d) != null) {
        return;
      }
      order.add(d.task());
      long here = running.values().stream().filter(r -> r.minion().equals(d.minion())).count();
      long limited =
          running.keySet().stream().filter(t -> t.job().customer().equals(LIMITED)).count();
      if (here > SLOTS) {
        violations.add("over the slots: " + d);
      }
      if (limited > MOST_IN_FLIGHT) {
        violations.add("over the quota: " + d);
      }
      if (out.contains(Integer.parseInt(d.minion().name()))) {
        violations.add("in a failure domain that is out: " + d);
      }
    }

    private void configure(Set<Integer> domainsOut) {
      out = domainsOut;
      Map<FailureDomain, FailureDomainSpec> domains = new HashMap<>();
      for (int i = 0; i < MINIONS; i++) {
        FailureDomain d = new FailureDomain("domain-" + i);
        domains.put(d, new FailureDomainSpec(d, "steppe", !domainsOut.contains(i)));
      }
      CustomerSpec limited = new CustomerSpec(LIMITED, 100_000, MOST_IN_FLIGHT);
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
