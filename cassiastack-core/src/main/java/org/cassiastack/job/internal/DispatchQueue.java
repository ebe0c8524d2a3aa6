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
 * Tasks that wait for a free slot of a service. Customers take turns, and the jobs of one customer
 * take turns, so that neither a burst nor a large job holds up the others. A job that has used up a
 * part of its timeout goes first, so that large jobs come to their end as well.
 */
public final class DispatchQueue {
  private final Map<ServiceName, Deque<CustomerQueue>> byService = new LinkedHashMap<>();
  private final Map<ServiceName, Integer> sizes = new HashMap<>();

  /** Returns the services that have waiting tasks. */
  public Collection<ServiceName> services() {
    return List.copyOf(byService.keySet());
  }

  /** Adds a task behind the others of its job. */
  public void addLast(RunningJob job, Task task) {
    jobQueue(job, false).tasks.addLast(task);
    resize(job.job().service(), 1);
  }

  /** Adds a task before the others of its customer: it has waited already. */
  public void addFirst(RunningJob job, Task task) {
    jobQueue(job, true).tasks.addFirst(task);
    resize(job.job().service(), 1);
  }

  /**
   * Returns the next waiting task of a service without taking it, or null.
   *
   * @param service the service
   * @param mayStart tells whether a customer may have one more task in flight
   * @param now the present time
   */
  public @Nullable QueuedTask peek(ServiceName service, Predicate<Customer> mayStart, Instant now) {
    Deque<CustomerQueue> customers = byService.get(service);
    if (customers == null) {
      return null;
    }
    for (int i = 0; i < customers.size(); i++) {
      CustomerQueue c = customers.element();
      if (mayStart.test(c.customer)) {
        JobQueue j = c.next(now);
        return new QueuedTask(j.job, j.tasks.element());
      }
      customers.addLast(customers.remove());
    }
    return null;
  }

  /** Returns the number of tasks of a service that wait. */
  public int size(ServiceName service) {
    return sizes.getOrDefault(service, 0);
  }

  /** Returns the number of tasks of a service that would go before the last of a new job. */
  public int countTasksAhead(ServiceName service, Customer customer, int tasks) {
    int ahead = 0;
    for (CustomerQueue c : byService.getOrDefault(service, new ArrayDeque<>())) {
      int own = c.size();
      ahead += c.customer.equals(customer) ? own : Math.min(own, tasks);
    }
    return ahead;
  }

  /** Takes the task that was peeked at; its job and its customer go behind the others. */
  public void takeFirst(ServiceName service) {
    Deque<CustomerQueue> customers = byService.get(service);
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
    dropIfEmpty(service, customers);
    resize(service, -1);
  }

  /** Removes the tasks of a job. */
  public void removeJob(RunningJob job) {
    ServiceName service = job.job().service();
    Deque<CustomerQueue> customers = byService.get(service);
    if (customers == null) {
      return;
    }
    for (CustomerQueue c : customers) {
      for (JobQueue j : c.jobs) {
        if (j.job == job) {
          resize(service, -j.tasks.size());
        }
      }
      c.remove(job);
    }
    customers.removeIf(c -> c.jobs.isEmpty());
    dropIfEmpty(service, customers);
  }

  private void dropIfEmpty(ServiceName service, Deque<CustomerQueue> customers) {
    if (customers.isEmpty()) {
      byService.remove(service);
    }
  }

  private void resize(ServiceName service, int by) {
    sizes.merge(service, by, Integer::sum);
  }

  private JobQueue jobQueue(RunningJob job, boolean first) {
    CustomerQueue customer = customerQueue(job);
    Deque<JobQueue> jobs = customer.jobs;
    for (JobQueue j : jobs) {
      if (j.job == job) {
        return j;
      }
    }
    JobQueue added = new JobQueue(job);
    if (first) {
      jobs.addFirst(added);
      customer.byAge.addFirst(added);
    } else {
      jobs.addLast(added);
      customer.byAge.addLast(added);
    }
    return added;
  }

  private CustomerQueue customerQueue(RunningJob job) {
    Deque<CustomerQueue> customers =
        byService.computeIfAbsent(job.job().service(), s -> new ArrayDeque<>());
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
   * A waiting task.
   *
   * @param job its job
   * @param task the task
   */
  public record QueuedTask(RunningJob job, Task task) {}

  private static final class CustomerQueue {
    private final Customer customer;
    private final Deque<JobQueue> jobs = new ArrayDeque<>();
    private final Deque<JobQueue> byAge = new ArrayDeque<>();

    CustomerQueue(Customer customer) {
      this.customer = customer;
    }

    /** Brings the job whose turn it is to the head: the oldest that is urgent, or the next. */
    JobQueue next(Instant now) {
      while (!byAge.isEmpty() && byAge.element().tasks.isEmpty()) {
        byAge.remove();
      }
      JobQueue oldest = byAge.peek();
      if (oldest != null && oldest != jobs.element() && oldest.job.isUrgent(now)) {
        jobs.remove(oldest);
        jobs.addFirst(oldest);
      }
      return jobs.element();
    }

    void remove(RunningJob job) {
      jobs.removeIf(j -> j.job == job);
      byAge.removeIf(j -> j.job == job);
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
