package org.cassiastack.controller;

/**
 * The event of time having passed; loops raise it at a fixed interval.
 *
 * @since 0.1
 */
public record Tick() implements Event {}
