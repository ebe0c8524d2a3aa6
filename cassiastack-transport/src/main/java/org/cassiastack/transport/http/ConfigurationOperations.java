package org.cassiastack.transport.http;

import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Revision;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

/**
 * Applies operators' changes and shows configurations.
 *
 * @since 0.1
 */
public interface ConfigurationOperations {
  /**
   * Applies a set of files as a whole.
   *
   * @return the outcome of the change. The {@code Mono} fails with a {@link CassiaException} if the
   *     files are not a valid configuration
   */
  Mono<ApplyResult> apply(ChangeRequest request);

  /**
   * Returns the content of a revision.
   *
   * @param revision the revision, or null for the revision in force
   * @throws CassiaException if this process does not retain the revision
   */
  ConfigurationView show(@Nullable Revision revision) throws CassiaException;
}
