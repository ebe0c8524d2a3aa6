package org.cassiastack.controller;

/**
 * Something that a controller wants done: a message sent, a snapshot published, a file written.
 * Effects are immutable and typed; they are carried out outside the deciding code.
 *
 * @since 0.1
 */
public interface Effect {}
