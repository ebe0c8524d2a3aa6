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

/**
 * Measures the memory of a coordinator per task, for jobs in flight and for retained answers, and
 * the time per task in which the coordinator handles the ends of tasks.
 */
final class JobsSlope implements Slope {
  private static final int[] JOB_COUNTS = {200, 1_000};
  private static final int TASKS_PER_JOB = 100;
  private static final int PAYLOAD_BYTES = 32;
  private static final Duration RETENTION = Duration.ofMinutes(10);
  private static final NodeId AGENT = new NodeId("agent-1");

  @Override
  public void measure(PrintStream out) throws CassiaException {
    for (int jobs : JOB_COUNTS) {
      measurePoint(jobs, out);
    }
  }

  private static void measurePoint(int jobs, PrintStream out) throws CassiaException {
    Instant now = Instant.now();
    JobCoordinator coordinator =
        JobCoordinator.create(new Epoch(1), MinionPickers.leastLoaded(), RETENTION);
    coordinator.on(new ConfigurationChanged(configuration()), now);
    coordinator.on(minions(now), now);
    long emptyBytes = HeapUsage.bytes();
    List<Dispatch> dispatches = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      collectDispatches(
          coordinator.on(new JobSubmitted(new CallerRequestId(i), newJob(i, now)), now),
          dispatches);
    }
    long inFlightBytes = HeapUsage.bytes() - emptyBytes;
    long startNanos = System.nanoTime();
    for (int i = 0; i < dispatches.size(); i++) {
      Dispatch dispatch = dispatches.get(i);
      TaskEnded ended =
          new TaskEnded(
              dispatch.task(),
              dispatch.epoch(),
              ResultCode.COMPLETE,
              Payload.wrap(newPayloadBytes()));
      collectDispatches(coordinator.on(new Received(AGENT, ended), now), dispatches);
    }
    long nanos = System.nanoTime() - startNanos;
    int tasks = dispatches.size();
    dispatches.clear();
    long retainedBytes = HeapUsage.bytes() - emptyBytes;
    out.printf(
        "%d jobs of %d tasks with %d bytes in and out: %d bytes a task in flight, %d bytes a task "
            + "retained, %d ns of the coordinator's thread a task (%d tasks)%n",
        jobs,
        TASKS_PER_JOB,
        PAYLOAD_BYTES,
        inFlightBytes / ((long) jobs * TASKS_PER_JOB),
        retainedBytes / ((long) jobs * TASKS_PER_JOB),
        nanos / Math.max(1, tasks),
        tasks);
    // Uses the coordinator once more, so that it stays reachable while heap usage is measured.
    coordinator.on(minions(now), now);
  }

  private static Configuration configuration() throws CassiaException {
    String text = "[failure-domain domain-1]\n[service ice]\n[customer ayaz]\n";
    return ConfigurationFiles.parse(new TreeMap<>(Map.of("all.ini", text)), Revision.NONE.next());
  }

  private static void collectDispatches(List<Effect> effects, List<Dispatch> dispatches) {
    for (Effect effect : effects) {
      if (effect instanceof Send send && send.message() instanceof Dispatch dispatch) {
        dispatches.add(dispatch);
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

  private static Job newJob(int number, Instant now) {
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS_PER_JOB; i++) {
      tasks.add(new Task(i, Payload.wrap(newPayloadBytes())));
    }
    JobKey key = JobKey.of(now, number, number);
    ServiceName service = new ServiceName("ice");
    return new Job(key, new Customer("ayaz"), service, Duration.ofMinutes(1), true, tasks);
  }

  private static byte[] newPayloadBytes() {
    return new byte[PAYLOAD_BYTES];
  }
}
