package org.cassiastack.consensus;

import org.cassiastack.controller.Event;

/**
 * A write that {@link Persist} requested, and all writes before it, are durable.
 *
 * @param sequence sequence number of the write
 * @since 0.1
 */
public record Persisted(long sequence) implements Event {}
