package org.cassiastack.model;

/**
 * The reason why a request was refused or failed, with a human-readable message.
 *
 * @param code the numbered reason
 * @param message what happened, the likely cause, and what to do next
 * @since 0.1
 */
public record Refusal(ResultCode code, String message) {}
