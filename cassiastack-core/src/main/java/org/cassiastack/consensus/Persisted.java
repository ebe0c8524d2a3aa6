package org.cassiastack.consensus;

import org.cassiastack.controller.Event;

/**
 * A write and all before it are synced.
 *
 * @param sequence number of the write
 * @since 0.1
 */
public record Persisted(long sequence) implements Event {}
