package org.cassiastack.transport.http;

import org.cassiastack.model.Revision;

/**
 * A revision of the configuration in the form that operators see.
 *
 * @param revision number of the revision
 * @param text content of the revision as one declarative file
 * @since 0.1
 */
public record ConfigurationView(Revision revision, String text) {}
