package org.cassiastack.retry;

import org.cassiastack.controller.Effect;

/**
 * Effect: counts a dispatch that is sent again, or a task that is dispatched again as a new
 * attempt.
 *
 * @param reason the reason of the retry, which selects the counter
 * @since 0.1
 */
public record CountRetry(RetryReason reason) implements Effect {}
