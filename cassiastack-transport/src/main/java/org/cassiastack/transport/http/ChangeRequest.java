package org.cassiastack.transport.http;

import java.util.SortedMap;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.model.Revision;

/**
 * A set of declarative files that operators want in force as a whole.
 *
 * @param changeId identity of the change, the same when it is sent again
 * @param base the revision that the change was made from
 * @param files texts by file name
 * @since 0.1
 */
public record ChangeRequest(ChangeId changeId, Revision base, SortedMap<String, String> files) {}
