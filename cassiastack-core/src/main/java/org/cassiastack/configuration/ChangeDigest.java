package org.cassiastack.configuration;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;

/**
 * Digest of the content of a change. It distinguishes a change that is submitted again from another
 * change with the same id.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 * @since 0.1
 */
public record ChangeDigest(long high, long low) {
  /** Returns the digest of the content of a configuration; its revision is left out. */
  public static ChangeDigest of(Configuration c) {
    HashStream128 h = Hashing.murmur3_128().hashStream();
    c.services().values().stream()
        .sorted(Comparator.comparing(s -> s.name().name()))
        .forEach(
            s ->
                h.putString(s.name().name())
                    .putLong(s.expectedRunTime().toNanos())
                    .putLong(s.defaultTimeout().toNanos()));
    h.putInt(c.services().size());
    c.failureDomains().values().stream()
        .sorted(Comparator.comparing(d -> d.name().name()))
        .forEach(d -> h.putString(d.name().name()).putString(d.region()).putBoolean(d.inService()));
    h.putInt(c.failureDomains().size());
    c.customers().values().stream()
        .sorted(Comparator.comparing(x -> x.name().name()))
        .forEach(
            x ->
                h.putString(x.name().name())
                    .putInt(x.maxTasksPerSecond())
                    .putInt(x.maxConcurrentTasks()));
    HashValue128 value = h.putInt(c.customers().size()).get();
    return new ChangeDigest(value.getMostSignificantBits(), value.getLeastSignificantBits());
  }
}
