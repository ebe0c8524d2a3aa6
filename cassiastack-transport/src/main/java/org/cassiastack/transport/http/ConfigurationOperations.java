package org.cassiastack.transport.http;

import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Revision;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

/**
 * Takes operators' changes and shows what is in force.
 *
 * @since 0.1
 */
public interface ConfigurationOperations {
  /** Applies a set of files as a whole; a set that is not valid ends in a refusal. */
  Mono<ApplyResult> apply(ChangeRequest request);

  /**
   * Shows a revision.
   *
   * @param revision its number, or null for the one in force
   * @throws CassiaException when the revision is not kept here
   */
  ConfigurationView show(@Nullable Revision revision) throws CassiaException;
}
