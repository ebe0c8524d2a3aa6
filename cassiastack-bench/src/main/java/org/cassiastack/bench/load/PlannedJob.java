package org.cassiastack.bench.load;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Task;

/**
 * A job that will arrive.
 *
 * @param number position among the arrivals
 * @param arrivalOffset intended time of arrival since the begin
 * @param jobClass its kind
 * @param runMillis run time of each task at a minion of speed 1
 * @since 0.1
 */
public record PlannedJob(
    int number, Duration arrivalOffset, JobClass jobClass, List<Integer> runMillis) {
  /** Returns the job to submit. */
  public Job toJob(ServiceName service, Duration timeout, Instant issued, long random) {
    List<Task> tasks = new ArrayList<>(runMillis.size());
    for (int millis : runMillis) {
      tasks.add(new Task(tasks.size(), Payload.ofText("run_ms=" + millis)));
    }
    JobKey key = JobKey.of(issued, number, random + number);
    return new Job(
        key, new Customer(jobClass.customer()), service, timeout, jobClass.idempotent(), tasks);
  }
}
