package org.cassiastack.bench.slopes;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.daemon.settings.ConfigurationFiles;
import org.cassiastack.model.Revision;

/** Bytes and time of a configuration by the number of customers that it declares. */
final class ConfigurationSlope implements Slope {
  private static final int[] CUSTOMERS = {10, 120, 1_200};

  @Override
  public void measure(PrintStream out) throws Exception {
    for (int customers : CUSTOMERS) {
      String text = text(customers);
      long before = HeapUsage.bytes();
      long begin = System.nanoTime();
      Configuration c =
          ConfigurationFiles.parse(new TreeMap<>(Map.of("all.ini", text)), Revision.NONE.next());
      long micros = (System.nanoTime() - begin) / 1_000;
      out.printf(
          "%d customers: %d bytes of text, %d bytes of heap, read in %d us%n",
          c.customers().size(), text.length(), HeapUsage.bytes() - before, micros);
    }
  }

  private static String text(int customers) {
    StringBuilder text = new StringBuilder("[service ice]\n");
    for (int i = 0; i < 11; i++) {
      text.append("[failure-domain domain-").append(i).append("]\n");
    }
    for (int i = 0; i < customers; i++) {
      text.append("[customer team-").append(i).append("]\n");
      text.append("tasks-per-second = 5000\nconcurrent-tasks = 2000\n");
    }
    return text.toString();
  }
}
