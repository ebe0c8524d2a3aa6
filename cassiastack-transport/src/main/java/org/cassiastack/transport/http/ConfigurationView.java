package org.cassiastack.transport.http;

import org.cassiastack.model.Revision;

/**
 * A revision as operators see it.
 *
 * @param revision its number
 * @param text its content as one declarative file
 * @since 0.1
 */
public record ConfigurationView(Revision revision, String text) {}
