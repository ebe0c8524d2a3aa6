package org.cassiastack.bench.slopes;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.controller.Effect;
import org.cassiastack.daemon.settings.ConfigurationFiles;
import org.cassiastack.job.CallerRequestId;
import org.cassiastack.job.JobCoordinator;
import org.cassiastack.job.JobSubmitted;
import org.cassiastack.membership.AvailableMinion;
import org.cassiastack.membership.MinionsChanged;
import org.cassiastack.model.CassiaException;
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
import org.cassiastack.model.Worker;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.TaskEnded;
import org.cassiastack.routing.MinionPickers;

/** Bytes that a coordinator holds for each job in flight and for each answer that it keeps. */
final class JobsSlope implements Slope {
  private static final int[] JOBS = {200, 1_000};
  private static final int TASKS_OF_A_JOB = 100;
  private static final int PAYLOAD_BYTES = 32;
  private static final Duration RETENTION = Duration.ofMinutes(10);
  private static final NodeId AGENT = new NodeId("agent-1");

  @Override
  public void measure(PrintStream out) throws CassiaException {
    for (int jobs : JOBS) {
      point(jobs, out);
    }
  }

  private static void point(int jobs, PrintStream out) throws CassiaException {
    Instant now = Instant.now();
    JobCoordinator c = JobCoordinator.create(new Epoch(1), MinionPickers.leastLoaded(), RETENTION);
    c.on(new ConfigurationChanged(configuration()), now);
    c.on(minions(now), now);
    long empty = HeapUsage.bytes();
    List<Dispatch> sent = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      take(c.on(new JobSubmitted(new CallerRequestId(i), job(i, now)), now), sent);
    }
    long inFlight = HeapUsage.bytes() - empty;
    long begin = System.nanoTime();
    for (int i = 0; i < sent.size(); i++) {
      Dispatch d = sent.get(i);
      TaskEnded ended =
          new TaskEnded(d.task(), d.epoch(), ResultCode.COMPLETE, Payload.wrap(bytes()));
      take(c.on(new Received(AGENT, ended), now), sent);
    }
    long nanos = System.nanoTime() - begin;
    int tasks = sent.size();
    sent.clear();
    long retained = HeapUsage.bytes() - empty;
    out.printf(
        "%d jobs of %d tasks with %d bytes in and out: %d bytes a task in flight, %d bytes a task "
            + "retained, %d ns of the coordinator's thread a task (%d tasks)%n",
        jobs,
        TASKS_OF_A_JOB,
        PAYLOAD_BYTES,
        inFlight / ((long) jobs * TASKS_OF_A_JOB),
        retained / ((long) jobs * TASKS_OF_A_JOB),
        nanos / Math.max(1, tasks),
        tasks);
    // Keeps the coordinator reachable while the heap is looked at.
    c.on(minions(now), now);
  }

  private static Configuration configuration() throws CassiaException {
    String text = "[failure-domain domain-1]\n[service ice]\n[customer ayaz]\n";
    return ConfigurationFiles.parse(new TreeMap<>(Map.of("all.ini", text)), Revision.NONE.next());
  }

  private static void take(List<Effect> effects, List<Dispatch> sent) {
    for (Effect e : effects) {
      if (e instanceof Send s && s.message() instanceof Dispatch d) {
        sent.add(d);
      }
    }
  }

  private static MinionsChanged minions(Instant now) {
    Incarnation incarnation = Incarnation.startedAt(now);
    Worker worker = new Worker("worker-1", "rack-1", new FailureDomain("domain-1"), 32, 65_536);
    ServiceName service = new ServiceName("ice");
    Minion minion = new Minion(new MinionId("minion-1"), service, worker, 8, 64);
    Map<NodeId, Incarnation> agents = new HashMap<>();
    agents.put(AGENT, incarnation);
    return new MinionsChanged(List.of(new AvailableMinion(AGENT, incarnation, minion)), agents);
  }

  private static Job job(int number, Instant now) {
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS_OF_A_JOB; i++) {
      tasks.add(new Task(i, Payload.wrap(bytes())));
    }
    JobKey key = JobKey.of(now, number, number);
    ServiceName service = new ServiceName("ice");
    return new Job(key, new Customer("ayaz"), service, Duration.ofMinutes(1), true, tasks);
  }

  private static byte[] bytes() {
    return new byte[PAYLOAD_BYTES];
  }
}
