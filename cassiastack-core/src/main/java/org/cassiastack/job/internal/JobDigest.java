package org.cassiastack.job.internal;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import org.cassiastack.model.Job;
import org.cassiastack.model.Task;

/**
 * Digest of the content of a job, retained in place of the payloads once the job is answered.
 *
 * @param value 128-bit hash of the service, the idempotent flag and the payloads
 */
public record JobDigest(HashValue128 value) {
  /** Computes the digest of a job. The key, customer and timeout do not affect the digest. */
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
