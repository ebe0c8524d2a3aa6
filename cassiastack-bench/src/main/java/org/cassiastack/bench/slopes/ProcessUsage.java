package org.cassiastack.bench.slopes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/**
 * What a process has used so far.
 *
 * @param processorTime time of all its threads
 * @param residentKilobytes memory that it holds at present
 */
record ProcessUsage(Duration processorTime, long residentKilobytes) {
  static ProcessUsage of(long pid) throws IOException {
    Duration cpu =
        ProcessHandle.of(pid).flatMap(p -> p.info().totalCpuDuration()).orElse(Duration.ZERO);
    return new ProcessUsage(cpu, resident(pid));
  }

  /** Returns the processor time since an earlier look, in milliseconds. */
  long processorMillisSince(ProcessUsage earlier) {
    return processorTime.minus(earlier.processorTime).toMillis();
  }

  private static long resident(long pid) throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", ""));
      }
    }
    return 0;
  }
}
