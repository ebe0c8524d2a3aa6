package org.cassiastack.job;

import org.cassiastack.controller.Event;

/**
 * A caller no longer waits for the answer of a job. The job continues.
 *
 * @param requestId the request that no longer waits
 * @since 0.1
 */
public record CallerGone(CallerRequestId requestId) implements Event {}
