package org.cassiastack.controller;

/**
 * The effect of handing an event to every controller of the same loop, after the present one.
 *
 * @param event the event to hand on
 * @since 0.1
 */
public record Raise(Event event) implements Effect {}
