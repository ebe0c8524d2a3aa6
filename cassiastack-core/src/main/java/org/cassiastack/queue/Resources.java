package org.cassiastack.queue;

/**
 * Amounts of what a minion has or a task takes up.
 *
 * @param milliCpu processor in thousandths of a core
 * @param memoryMb memory in MiB
 * @param gpus accelerators
 * @since 0.2
 */
public record Resources(long milliCpu, long memoryMb, long gpus) {
  /** Nothing at all. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns the sum of both. */
  public Resources plus(Resources more) {
    return new Resources(milliCpu + more.milliCpu, memoryMb + more.memoryMb, gpus + more.gpus);
  }

  /** Returns what is left of this without the other. */
  public Resources minus(Resources less) {
    return new Resources(milliCpu - less.milliCpu, memoryMb - less.memoryMb, gpus - less.gpus);
  }

  /** Returns the greater amount of each kind. */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(milliCpu, other.milliCpu),
        Math.max(memoryMb, other.memoryMb),
        Math.max(gpus, other.gpus));
  }

  /** Returns the smaller amount of each kind. */
  public Resources min(Resources other) {
    return new Resources(
        Math.min(milliCpu, other.milliCpu),
        Math.min(memoryMb, other.memoryMb),
        Math.min(gpus, other.gpus));
  }

  /** Tells whether this holds at least as much as a need, in each kind. */
  public boolean covers(Resources need) {
    return milliCpu >= need.milliCpu && memoryMb >= need.memoryMb && gpus >= need.gpus;
  }
}
