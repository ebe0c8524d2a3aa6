package org.cassiastack.job.internal;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import org.cassiastack.model.Job;
import org.cassiastack.model.Task;

/**
 * Digest of the content of a job, kept in place of its payloads once it was answered.
 *
 * @param value 128 bits over service, mark and payloads
 */
public record JobDigest(HashValue128 value) {
  /** Computes the digest of a job. */
  public static JobDigest of(Job job) {
    HashStream128 stream = Hashing.murmur3_128().hashStream();
    stream.putString(job.service().name());
    stream.putBoolean(job.idempotent());
    for (Task t : job.tasks()) {
      stream.putByteArray(t.payload().toByteArray());
    }
    return new JobDigest(stream.get());
  }
}
