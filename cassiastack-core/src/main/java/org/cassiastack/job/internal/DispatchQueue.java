package org.cassiastack.job.internal;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cassiastack.model.Customer;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Task;
import org.jspecify.annotations.Nullable;

/**
 * Queues of the tasks that wait for a free slot, by service. Dispatch is round robin among the
 * customers and, for each customer, round robin among its jobs, so that neither a burst nor a large
 * job delays the others. The oldest job of a customer takes priority over the customer's other jobs
 * once it is urgent ({@link RunningJob#isUrgent}), so that large jobs finish as well.
 */
public final class DispatchQueue {
  private final Map<ServiceName, Deque<CustomerQueue>> customersByService = new LinkedHashMap<>();
  private final Map<ServiceName, Integer> sizeByService = new HashMap<>();

  /** Returns a copy of the names of the services that have queued tasks. */
  public Collection<ServiceName> services() {
    return List.copyOf(customersByService.keySet());
  }

  /** Adds a task at the end of its job's queue. */
  public void addLast(RunningJob job, Task task) {
    jobQueue(job, false).tasks.addLast(task);
    adjustSize(job.job().service(), 1);
  }

  /**
   * Adds a task at the head of its job's queue, because the task has already waited. A job without
   * other queued tasks goes to the head of its customer's jobs.
   */
  public void addFirst(RunningJob job, Task task) {
    jobQueue(job, true).tasks.addFirst(task);
    adjustSize(job.job().service(), 1);
  }

  /**
   * Returns the next task of a service without removing it, or null if no queued task may start.
   * Customers that may not start a task move to the end of the customers of the service.
   *
   * @param service the service whose queue is examined
   * @param mayStart returns whether a customer may have one more task in flight
   * @param now the current time
   */
  public @Nullable QueuedTask peek(ServiceName service, Predicate<Customer> mayStart, Instant now) {
    Deque<CustomerQueue> customers = customersByService.get(service);
    if (customers == null) {
      return null;
    }
    for (int i = 0; i < customers.size(); i++) {
      CustomerQueue c = customers.element();
      if (mayStart.test(c.customer)) {
        JobQueue j = c.moveNextToHead(now);
        return new QueuedTask(j.job, j.tasks.element());
      }
      customers.addLast(customers.remove());
    }
    return null;
  }

  /** Returns the number of queued tasks of a service. */
  public int size(ServiceName service) {
    return sizeByService.getOrDefault(service, 0);
  }

  /**
   * Returns how many queued tasks of a service would be dispatched before the last task of a new
   * job. All tasks of the job's own customer count. Of each other customer at most as many tasks
   * count as the new job has, because customers take turns.
   */
  public int countTasksAhead(ServiceName service, Customer customer, int tasks) {
    int ahead = 0;
    for (CustomerQueue c : customersByService.getOrDefault(service, new ArrayDeque<>())) {
      int queued = c.size();
      ahead += c.customer.equals(customer) ? queued : Math.min(queued, tasks);
    }
    return ahead;
  }

  /**
   * Removes the task that the last call of {@link #peek} for the service returned. The job of the
   * task moves to the end of the jobs of its customer, and the customer to the end of the customers
   * of the service.
   */
  public void takeFirst(ServiceName service) {
    Deque<CustomerQueue> customers = customersByService.get(service);
    if (customers == null) {
      return;
    }
    CustomerQueue c = customers.remove();
    JobQueue j = c.jobs.remove();
    j.tasks.remove();
    if (!j.tasks.isEmpty()) {
      c.jobs.addLast(j);
    }
    if (!c.jobs.isEmpty()) {
      customers.addLast(c);
    }
    removeIfEmpty(service, customers);
    adjustSize(service, -1);
  }

  /** Removes all queued tasks of a job. */
  public void removeJob(RunningJob job) {
    ServiceName service = job.job().service();
    Deque<CustomerQueue> customers = customersByService.get(service);
    if (customers == null) {
      return;
    }
    for (CustomerQueue c : customers) {
      for (JobQueue j : c.jobs) {
        if (j.job == job) {
          adjustSize(service, -j.tasks.size());
        }
      }
      c.remove(job);
    }
    customers.removeIf(c -> c.jobs.isEmpty());
    removeIfEmpty(service, customers);
  }

  private void removeIfEmpty(ServiceName service, Deque<CustomerQueue> customers) {
    if (customers.isEmpty()) {
      customersByService.remove(service);
    }
  }

  private void adjustSize(ServiceName service, int delta) {
    sizeByService.merge(service, delta, Integer::sum);
  }

  private JobQueue jobQueue(RunningJob job, boolean addAtHead) {
    CustomerQueue customer = customerQueue(job);
    Deque<JobQueue> jobs = customer.jobs;
    for (JobQueue j : jobs) {
      if (j.job == job) {
        return j;
      }
    }
    JobQueue added = new JobQueue(job);
    if (addAtHead) {
      jobs.addFirst(added);
      customer.byArrival.addFirst(added);
    } else {
      jobs.addLast(added);
      customer.byArrival.addLast(added);
    }
    return added;
  }

  private CustomerQueue customerQueue(RunningJob job) {
    Deque<CustomerQueue> customers =
        customersByService.computeIfAbsent(job.job().service(), s -> new ArrayDeque<>());
    Customer customer = job.job().customer();
    for (CustomerQueue c : customers) {
      if (c.customer.equals(customer)) {
        return c;
      }
    }
    CustomerQueue added = new CustomerQueue(customer);
    customers.addLast(added);
    return added;
  }

  /**
   * A task in the queue.
   *
   * @param job the job of the task
   * @param task the task
   */
  public record QueuedTask(RunningJob job, Task task) {}

  private static final class CustomerQueue {
    private final Customer customer;
    private final Deque<JobQueue> jobs = new ArrayDeque<>();
    private final Deque<JobQueue> byArrival = new ArrayDeque<>();

    CustomerQueue(Customer customer) {
      this.customer = customer;
    }

    /** Moves the oldest job to the head if that job is urgent, and returns the job at the head. */
    JobQueue moveNextToHead(Instant now) {
      while (!byArrival.isEmpty() && byArrival.element().tasks.isEmpty()) {
        byArrival.remove();
      }
      JobQueue oldest = byArrival.peek();
      if (oldest != null && oldest != jobs.element() && oldest.job.isUrgent(now)) {
        jobs.remove(oldest);
        jobs.addFirst(oldest);
      }
      return jobs.element();
    }

    void remove(RunningJob job) {
      jobs.removeIf(j -> j.job == job);
      byArrival.removeIf(j -> j.job == job);
    }

    int size() {
      return jobs.stream().mapToInt(j -> j.tasks.size()).sum();
    }
  }

  private static final class JobQueue {
    private final RunningJob job;
    private final Deque<Task> tasks = new ArrayDeque<>();

    JobQueue(RunningJob job) {
      this.job = job;
    }
  }
}
