/** Retries: budgets, backoff and the reasons that are counted. */
@NullMarked
package org.cassiastack.retry;

import org.jspecify.annotations.NullMarked;
