package org.cassiastack.configuration;

import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;

/**
 * What became of an operators' change.
 *
 * @param code {@link ResultCode#ACCEPTED} or why nothing changed
 * @param revision the new revision of an accepted change, else the revision in force
 * @since 0.1
 */
public record ApplyResult(ResultCode code, Revision revision) {}
