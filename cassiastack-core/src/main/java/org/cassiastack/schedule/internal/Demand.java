package org.cassiastack.schedule.internal;

import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.Resources;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.runs.MinionProfile;
import org.jspecify.annotations.Nullable;

/**
 * What the tasks of a step demand of a worker. If no worker can take a task of one step, none can
 * take a task of another step with an equal demand.
 *
 * @param queue name of the queue, which determines the service together with {@code service}
 * @param service service of the queue when the job was created
 * @param need resources that one task needs
 * @param requiredLabel label that the worker must have; empty for none
 * @param dataRack label of the rack where the tasks run faster; empty for none
 */
record Demand(
    String queue, ServiceName service, Resources need, String requiredLabel, String dataRack) {
  static Demand of(Queue queue, StepSpec spec) {
    return new Demand(
        queue.name(), queue.service(), spec.need(), spec.requiredLabel(), spec.dataRack());
  }

  /** Returns whether a minion has the required label. */
  boolean isLabelMetBy(MinionProfile minion) {
    return requiredLabel.isEmpty() || minion.labels().contains(requiredLabel);
  }

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof Demand o
        && need.equals(o.need)
        && queue.equals(o.queue)
        && service.equals(o.service)
        && requiredLabel.equals(o.requiredLabel)
        && dataRack.equals(o.dataRack);
  }

  @Override
  public int hashCode() {
    int hash = need.hashCode() * 31 + queue.hashCode();
    return (hash * 31 + requiredLabel.hashCode()) * 31 + dataRack.hashCode();
  }
}
