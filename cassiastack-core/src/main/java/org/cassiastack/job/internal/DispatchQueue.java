package org.cassiastack.job.internal;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Task;
import org.jspecify.annotations.Nullable;

/** Tasks that wait for a free slot, in order of arrival for each service. */
public final class DispatchQueue {
  private final Map<ServiceName, Deque<Waiting>> byService = new LinkedHashMap<>();

  /** Returns the services that have waiting tasks. */
  public Collection<ServiceName> services() {
    return List.copyOf(byService.keySet());
  }

  /** Adds a task behind the others. */
  public void addLast(RunningJob job, Task task) {
    queue(job.job().service()).addLast(new Waiting(job, task));
  }

  /** Adds a task before the others: it has waited already. */
  public void addFirst(RunningJob job, Task task) {
    queue(job.job().service()).addFirst(new Waiting(job, task));
  }

  /** Returns the first waiting task of a service without taking it, or null. */
  public @Nullable Waiting peek(ServiceName service) {
    Deque<Waiting> q = byService.get(service);
    return q == null ? null : q.peekFirst();
  }

  /** Takes the first waiting task of a service. */
  public void takeFirst(ServiceName service) {
    Deque<Waiting> q = byService.get(service);
    if (q != null) {
      q.pollFirst();
      if (q.isEmpty()) {
        byService.remove(service);
      }
    }
  }

  /** Removes the tasks of a job. */
  public void removeJob(RunningJob job) {
    Deque<Waiting> q = byService.get(job.job().service());
    if (q != null) {
      q.removeIf(w -> w.job() == job);
      if (q.isEmpty()) {
        byService.remove(job.job().service());
      }
    }
  }

  private Deque<Waiting> queue(ServiceName service) {
    return byService.computeIfAbsent(service, s -> new ArrayDeque<>());
  }

  /**
   * A waiting task.
   *
   * @param job its job
   * @param task the task
   */
  public record Waiting(RunningJob job, Task task) {}
}
