package org.cassiastack.controller;

/**
 * Effect: passes an event to every controller of the same loop, after the event that is being
 * handled and the events raised before this one, but before the next posted event.
 *
 * @param event the event to pass on
 * @since 0.1
 */
public record Raise(Event event) implements Effect {}
