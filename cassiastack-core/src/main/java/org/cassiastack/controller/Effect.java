package org.cassiastack.controller;

/**
 * An action that a controller requests, such as sending a message, publishing a configuration or
 * writing a file. Effects are immutable and typed; they are carried out outside the code that
 * decides.
 *
 * @since 0.1
 */
public interface Effect {}
