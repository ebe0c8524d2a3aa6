package org.cassiastack.model;

/**
 * Why something was refused or failed, in words for people.
 *
 * @param code the numbered code
 * @param message what happened, the likely cause, and what to do next
 * @since 0.1
 */
public record Refusal(ResultCode code, String message) {}
