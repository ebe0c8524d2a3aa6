package org.cassiastack.retry;

import org.cassiastack.controller.Effect;

/**
 * The effect of counting work that is sent once more.
 *
 * @param reason why
 * @since 0.1
 */
public record CountRetry(RetryReason reason) implements Effect {}
