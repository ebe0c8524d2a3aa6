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
 * A job of a load plan.
 *
 * @param number index of the job in the plan, from 0
 * @param arrivalOffset intended arrival time, as an offset from the start of the run
 * @param jobClass class of the job
 * @param runMillis run time of each task on a minion of speed 1, in milliseconds
 * @since 0.1
 */
public record PlannedJob(
    int number, Duration arrivalOffset, JobClass jobClass, List<Integer> runMillis) {
  /**
   * Creates the job to submit.
   *
   * @param service the service that runs the tasks
   * @param timeout time within which the job must end
   * @param issuedAt time of issue that the job key holds
   * @param keyRandom random bits of the job key, to which the job's number is added
   */
  public Job toJob(ServiceName service, Duration timeout, Instant issuedAt, long keyRandom) {
    List<Task> tasks = new ArrayList<>(runMillis.size());
    for (int millis : runMillis) {
      tasks.add(new Task(tasks.size(), Payload.ofText("run_ms=" + millis)));
    }
    JobKey key = JobKey.of(issuedAt, number, keyRandom + number);
    return new Job(
        key, new Customer(jobClass.customer()), service, timeout, jobClass.idempotent(), tasks);
  }
}
