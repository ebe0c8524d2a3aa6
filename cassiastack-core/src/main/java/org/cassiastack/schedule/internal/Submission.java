package org.cassiastack.schedule.internal;

import java.time.Instant;
import org.cassiastack.request.AwaitedSubmit;
import org.cassiastack.request.FallbackSubmit;
import org.cassiastack.request.LeaderRequest;
import org.cassiastack.request.ResubmitJob;
import org.cassiastack.request.SubmitJob;
import org.jspecify.annotations.Nullable;

/**
 * A job that an entry submits, in whichever message.
 *
 * @param request the job and its caller's times
 * @param probeSentAt when the last probe of this dispatcher was sent that the entry had got, or
 *     null
 * @param wasElsewhere whether the entry has sent the job to another dispatcher before
 */
record Submission(SubmitJob request, @Nullable Instant probeSentAt, boolean wasElsewhere) {
  /** Returns the submission in a request, or null if the request is none. */
  static @Nullable Submission of(LeaderRequest request) {
    if (request instanceof SubmitJob s) {
      return new Submission(s, null, false);
    } else if (request instanceof AwaitedSubmit a) {
      return new Submission(a.submission(), a.probeSentAt(), false);
    } else if (request instanceof FallbackSubmit f) {
      return new Submission(f.submission(), f.probeSentAt(), false);
    } else if (request instanceof ResubmitJob r) {
      return new Submission(r.submission(), r.probeSentAt(), true);
    }
    return null;
  }
}
