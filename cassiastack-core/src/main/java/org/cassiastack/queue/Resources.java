package org.cassiastack.queue;

import org.jspecify.annotations.Nullable;

/**
 * Amounts of resources that a minion has or that a task needs.
 *
 * @param milliCpu CPU, in thousandths of a core
 * @param memoryMb memory, in MiB
 * @param gpus number of GPUs
 * @since 0.2
 */
public record Resources(long milliCpu, long memoryMb, long gpus) {
  /** Zero of each resource. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns the sum of both amounts of each resource. */
  public Resources plus(Resources other) {
    return new Resources(milliCpu + other.milliCpu, memoryMb + other.memoryMb, gpus + other.gpus);
  }

  /** Returns these amounts less those of the other; a result may be negative. */
  public Resources minus(Resources other) {
    return new Resources(milliCpu - other.milliCpu, memoryMb - other.memoryMb, gpus - other.gpus);
  }

  /** Returns the greater of both amounts of each resource. */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(milliCpu, other.milliCpu),
        Math.max(memoryMb, other.memoryMb),
        Math.max(gpus, other.gpus));
  }

  /** Returns the smaller of both amounts of each resource. */
  public Resources min(Resources other) {
    return new Resources(
        Math.min(milliCpu, other.milliCpu),
        Math.min(memoryMb, other.memoryMb),
        Math.min(gpus, other.gpus));
  }

  /** Returns whether these amounts are sufficient for a need, in each resource. */
  public boolean covers(Resources need) {
    return milliCpu >= need.milliCpu && memoryMb >= need.memoryMb && gpus >= need.gpus;
  }

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof Resources o
        && milliCpu == o.milliCpu
        && memoryMb == o.memoryMb
        && gpus == o.gpus;
  }

  @Override
  public int hashCode() {
    return Long.hashCode((milliCpu * 31 + memoryMb) * 31 + gpus);
  }
}
