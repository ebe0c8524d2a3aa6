package org.cassiastack.configuration;

/**
 * A change that was decided, remembered so that it gets the same answer again.
 *
 * @param changeId identity of the change
 * @param digest digest of its content
 * @param result the answer
 * @since 0.1
 */
public record DecidedChange(ChangeId changeId, ChangeDigest digest, ApplyResult result) {}
