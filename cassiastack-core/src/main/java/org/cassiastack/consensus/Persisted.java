package org.cassiastack.consensus;

import org.cassiastack.controller.Event;

/**
 * A write and all before it are synced.
 *
 * @param sync number of the write
 * @since 0.1
 */
public record Persisted(long sync) implements Event {}
