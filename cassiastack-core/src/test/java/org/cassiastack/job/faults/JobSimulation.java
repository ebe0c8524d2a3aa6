package org.cassiastack.job.faults;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.configuration.FailureDomainSpec;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.VirtualScheduler;
import org.cassiastack.guard.StartGuard;
import org.cassiastack.guard.StartTask;
import org.cassiastack.guard.TaskStopped;
import org.cassiastack.job.AnswerCaller;
import org.cassiastack.job.JobCancelled;
import org.cassiastack.job.JobCoordinator;
import org.cassiastack.job.JobSubmitted;
import org.cassiastack.membership.AnnouncementController;
import org.cassiastack.membership.MembershipController;
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
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.Send;
import org.cassiastack.routing.MinionPickers;

/**
 * Simulation of one entry, agents with one minion each, and callers, in virtual time. The callers
 * check each start of a task and each answer.
 */
final class JobSimulation {
  static final Duration RETENTION = Duration.ofSeconds(20);
  static final Duration CLOCK_SKEW = Duration.ofSeconds(1);

  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final Duration LEASE = Duration.ofSeconds(3);
  private static final Duration HEARTBEAT = Duration.ofSeconds(1);
  private static final NodeId ENTRY = new NodeId("entry-1");
  private static final FailureDomain NORTH = new FailureDomain("north");
  private static final ServiceName ICE = new ServiceName("ice");
  private static final int AGENTS = 4;
  private static final int CAPACITY = 60;

  final VirtualScheduler scheduler = new VirtualScheduler(START);
  final Callers callers = new Callers();
  final FaultyNetwork network;
  final FakeNode entry;
  final List<FakeNode> agents = new ArrayList<>();
  private final SplittableRandom random;
  private final double faultScale;
  private final Map<FakeNode, NodeId> nameByNode = new HashMap<>();
  private long lastKey;

  JobSimulation(long seed, double faultScale) {
    random = new SplittableRandom(seed);
    this.faultScale = faultScale;
    network = new FaultyNetwork(scheduler, random.split(), faultScale);
    entry = node(ENTRY);
    startEntry(START);
    for (int i = 0; i < AGENTS; i++) {
      agents.add(node(new NodeId("agent-" + i)));
      startAgent(i);
    }
  }

  Job job(int taskCount) {
    lastKey++;
    long offset = faultScale == 0 ? 0 : random.nextLong(-5_000, CLOCK_SKEW.toMillis());
    JobKey key = JobKey.of(scheduler.now().plusMillis(offset), lastKey, random.nextLong());
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < taskCount; i++) {
      tasks.add(new Task(i, Payload.ofText("task " + i)));
    }
    Duration timeout = Duration.ofMillis(random.nextLong(200, 10_000));
    return new Job(key, new Customer("ayaz"), ICE, timeout, false, tasks);
  }

  void submit(Job job) {
    if (entry.isUp()) {
      entry.post(new JobSubmitted(callers.registerSubmission(job), job));
    }
  }

  void cancel(Job job) {
    if (entry.isUp()) {
      entry.post(new JobCancelled(callers.registerCaller(job), job.customer(), job.key()));
    }
  }

  void crashEntry(Duration downtime) {
    entry.crash();
    callers.coordinatorCrashed();
    scheduler.runAfter(downtime, () -> startEntry(scheduler.now().plus(CLOCK_SKEW)));
  }

  void crashAgent(int i, Duration downtime) {
    FakeNode agent = agents.get(i);
    if (agent.isUp()) {
      agent.crash();
      scheduler.runAfter(downtime, () -> startAgent(i));
    }
  }

  void isolateAgent(int i, Duration duration) {
    NodeId name = nameByNode.get(agents.get(i));
    network.isolate(name);
    scheduler.runAfter(duration, () -> network.reconnect(name));
  }

  void pause(FakeNode node, Duration duration) {
    int incarnation = node.incarnation();
    node.pause();
    scheduler.runAfter(
        duration,
        () -> {
          if (node.incarnation() == incarnation) {
            node.resume();
          }
        });
  }

  private FakeNode node(NodeId name) {
    FakeNode node = new FakeNode(scheduler, this::handleEffect);
    nameByNode.put(node, name);
    network.join(name, node::post);
    return node;
  }

  private void startEntry(Instant trackedSince) {
    entry.start(
        List.of(
            MembershipController.create(ENTRY, LEASE),
            JobCoordinator.create(
                new Epoch(1), MinionPickers.leastLoaded(), RETENTION, trackedSince)));
    entry.post(new ConfigurationChanged(configuration()));
  }

  private static Configuration configuration() {
    FailureDomainSpec northInService = new FailureDomainSpec(NORTH, "steppe", true);
    return new Configuration(new Revision(1), Map.of(), Map.of(NORTH, northInService), Map.of());
  }

  private void startAgent(int i) {
    Incarnation incarnation = Incarnation.startedAt(scheduler.now());
    Worker worker = new Worker("worker-" + i, "rack-1", NORTH, 32, 65_536);
    List<Minion> minions = List.of(new Minion(new MinionId("minion-" + i), ICE, worker, 2, 64));
    FakeNode agent = agents.get(i);
    agent.start(
        List.of(
            AnnouncementController.create(nameByNode.get(agent), incarnation, minions, HEARTBEAT),
            StartGuard.create(incarnation, minions, RETENTION, CAPACITY)));
    agent.post(new StartsAllowed(Instant.MAX, configuration()));
    agent.post(new PeerConnected(ENTRY));
  }

  private void handleEffect(FakeNode node, Effect effect) {
    if (effect instanceof Send s) {
      network.send(nameByNode.get(node), s.to(), s.message());
    } else if (effect instanceof AnswerCaller a) {
      callers.checkAnswer(a);
    } else if (effect instanceof MinionsChanged m) {
      node.post(m);
    } else if (effect instanceof StartTask s) {
      runTask(node, s.dispatch().task());
    }
  }

  private void runTask(FakeNode agent, TaskId task) {
    int incarnation = agent.incarnation();
    double draw = faultScale == 0 ? 1 : random.nextDouble();
    boolean minionReached = draw > 0.05;
    ResultCode code = draw > 0.1 ? ResultCode.COMPLETE : ResultCode.TASK_FAILED;
    if (minionReached) {
      callers.checkStart(task);
    }
    Payload output = Payload.ofText(task.toString());
    TaskStopped stopped =
        new TaskStopped(task, minionReached ? code : ResultCode.NO_MINION, output);
    scheduler.runAfter(
        Duration.ofMillis(random.nextLong(1, random.nextInt(10) == 0 ? 5_000 : 600)),
        () -> {
          if (agent.incarnation() == incarnation) {
            agent.post(stopped);
          }
        });
  }
}
