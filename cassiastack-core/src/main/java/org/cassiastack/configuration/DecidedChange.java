package org.cassiastack.configuration;

/**
 * The decision on a change, retained so that a repeated request gets the same result.
 *
 * @param changeId id of the change
 * @param digest digest of the content of the change
 * @param result the outcome, which a repeated request gets again
 * @since 0.1
 */
public record DecidedChange(ChangeId changeId, ChangeDigest digest, ApplyResult result) {}
