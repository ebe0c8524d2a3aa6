package org.cassiastack.daemon.entry;

import java.util.TreeMap;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.model.Revision;
import org.jspecify.annotations.Nullable;

/** The latest revisions that were in force here, for operators to look at. */
final class ConfigurationHistory {
  static final int MAX_REVISIONS = 64;

  private final TreeMap<Revision, Configuration> kept = new TreeMap<>();

  synchronized void add(Configuration c) {
    kept.put(c.revision(), c);
    if (kept.size() > MAX_REVISIONS) {
      kept.pollFirstEntry();
    }
  }

  synchronized @Nullable Configuration find(Revision revision) {
    return kept.get(revision);
  }

  synchronized Configuration newest() {
    return kept.isEmpty() ? Configuration.EMPTY : kept.lastEntry().getValue();
  }
}
