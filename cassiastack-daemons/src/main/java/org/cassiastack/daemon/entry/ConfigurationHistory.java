package org.cassiastack.daemon.entry;

import java.util.TreeMap;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.model.Revision;
import org.jspecify.annotations.Nullable;

/** The latest revisions that were in force in this entry, retained for queries of operators. */
final class ConfigurationHistory {
  static final int MAX_REVISIONS = 64;

  private final TreeMap<Revision, Configuration> revisions = new TreeMap<>();

  synchronized void add(Configuration configuration) {
    revisions.put(configuration.revision(), configuration);
    if (revisions.size() > MAX_REVISIONS) {
      revisions.pollFirstEntry();
    }
  }

  synchronized @Nullable Configuration find(Revision revision) {
    return revisions.get(revision);
  }

  synchronized Configuration newest() {
    return revisions.isEmpty() ? Configuration.EMPTY : revisions.lastEntry().getValue();
  }
}
