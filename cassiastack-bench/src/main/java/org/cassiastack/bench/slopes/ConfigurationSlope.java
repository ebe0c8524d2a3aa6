package org.cassiastack.bench.slopes;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.daemon.settings.ConfigurationFiles;
import org.cassiastack.model.Revision;

/** Measures the size, memory and parse time of a configuration by the number of customers. */
final class ConfigurationSlope implements Slope {
  private static final int[] CUSTOMER_COUNTS = {10, 120, 1_200};

  @Override
  public void measure(PrintStream out) throws Exception {
    for (int customerCount : CUSTOMER_COUNTS) {
      String text = configurationText(customerCount);
      long bytesBefore = HeapUsage.bytes();
      long startNanos = System.nanoTime();
      Configuration configuration =
          ConfigurationFiles.parse(new TreeMap<>(Map.of("all.ini", text)), Revision.NONE.next());
      long parseMicros = (System.nanoTime() - startNanos) / 1_000;
      out.printf(
          "%d customers: %d bytes of text, %d bytes of heap, read in %d us%n",
          configuration.customers().size(),
          text.length(),
          HeapUsage.bytes() - bytesBefore,
          parseMicros);
    }
  }

  private static String configurationText(int customerCount) {
    StringBuilder text = new StringBuilder("[service ice]\n");
    for (int i = 0; i < 11; i++) {
      text.append("[failure-domain domain-").append(i).append("]\n");
    }
    for (int i = 0; i < customerCount; i++) {
      text.append("[customer team-").append(i).append("]\n");
      text.append("tasks-per-second = 5000\nconcurrent-tasks = 2000\n");
    }
    return text.toString();
  }
}
