package org.cassiastack.consensus;

import org.cassiastack.controller.Event;

/**
 * Writing to the data folder has failed. The member ignores all further events until its process is
 * restarted.
 *
 * @param reason description of the failure
 * @since 0.1
 */
public record StorageFailed(String reason) implements Event {}
