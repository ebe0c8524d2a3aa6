package org.cassiastack.controller;

/**
 * Something that happened and that controllers decide on. Events are immutable and typed; each
 * package declares its own.
 *
 * @since 0.1
 */
public interface Event {}
