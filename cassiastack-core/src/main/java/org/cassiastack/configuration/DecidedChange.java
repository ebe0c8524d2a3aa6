package org.cassiastack.configuration;

/**
 * A change that was decided, remembered so that it gets the same answer again.
 *
 * @param change identity of the change
 * @param digest digest of its content
 * @param result the answer
 * @since 0.1
 */
public record DecidedChange(ChangeId change, ChangeDigest digest, ApplyResult result) {}
