package org.cassiastack.controller;

/**
 * Event: time has passed. A loop raises it at a fixed interval.
 *
 * @since 0.1
 */
public record Tick() implements Event {}
