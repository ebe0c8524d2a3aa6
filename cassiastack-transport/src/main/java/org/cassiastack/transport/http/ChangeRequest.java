package org.cassiastack.transport.http;

import java.util.SortedMap;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.model.Revision;

/**
 * A change by an operator: a set of declarative files that take effect as a whole.
 *
 * @param changeId id of the change; a repeated request has the same id
 * @param base the revision on which the change is based
 * @param files contents of the files by file name
 * @since 0.1
 */
public record ChangeRequest(ChangeId changeId, Revision base, SortedMap<String, String> files) {}
