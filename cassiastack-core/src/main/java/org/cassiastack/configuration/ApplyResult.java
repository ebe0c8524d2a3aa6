package org.cassiastack.configuration;

import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;

/**
 * Outcome of an operators' change.
 *
 * @param code {@link ResultCode#ACCEPTED}, or the reason why the change was not accepted or its
 *     outcome is unknown
 * @param revision the new revision of an accepted change, otherwise the revision in force
 * @since 0.1
 */
public record ApplyResult(ResultCode code, Revision revision) {}
