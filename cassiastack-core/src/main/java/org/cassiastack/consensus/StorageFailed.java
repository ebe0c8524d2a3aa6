package org.cassiastack.consensus;

import org.cassiastack.controller.Event;

/**
 * The data folder can no longer be written. The member takes no further part until its process
 * starts again.
 *
 * @param reason what failed
 * @since 0.1
 */
public record StorageFailed(String reason) implements Event {}
