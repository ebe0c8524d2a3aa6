package org.cassiastack.controller;

/**
 * Something that happened and that controllers react to. Events are immutable and typed; each
 * package declares its own event types.
 *
 * @since 0.1
 */
public interface Event {}
