package org.cassiastack.controller;

/**
 * Event: time has passed. A loop raises it when a controller needs it.
 *
 * @since 0.1
 */
public record Tick() implements Event {}
