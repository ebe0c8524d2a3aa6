/**
 * Immutable types that all packages share: jobs, tasks, minions, workers, failure domains and
 * result codes.
 */
@NullMarked
package org.cassiastack.model;

import org.jspecify.annotations.NullMarked;
