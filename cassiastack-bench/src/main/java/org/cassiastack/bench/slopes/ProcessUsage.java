package org.cassiastack.bench.slopes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/**
 * Processor time and memory of a process at one point in time.
 *
 * @param processorTime processor time of all threads since the process started, or zero when
 *     unknown
 * @param residentKilobytes current resident set size
 */
record ProcessUsage(Duration processorTime, long residentKilobytes) {
  /** Reads the current usage of a process. */
  static ProcessUsage of(long pid) throws IOException {
    Duration processorTime =
        ProcessHandle.of(pid)
            .flatMap(process -> process.info().totalCpuDuration())
            .orElse(Duration.ZERO);
    return new ProcessUsage(processorTime, readResidentKilobytes(pid));
  }

  /** Returns the processor time since an earlier reading, in milliseconds. */
  long processorMillisSince(ProcessUsage earlier) {
    return processorTime.minus(earlier.processorTime).toMillis();
  }

  private static long readResidentKilobytes(long pid) throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", ""));
      }
    }
    return 0;
  }
}
