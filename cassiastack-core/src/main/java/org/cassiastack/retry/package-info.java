/** Retries: budgets, backoff, and counts of retries by reason. */
@NullMarked
package org.cassiastack.retry;

import org.jspecify.annotations.NullMarked;
