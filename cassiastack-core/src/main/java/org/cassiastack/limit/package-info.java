/** Limits: quotas of customers over all coordinators together, and admission by expected wait. */
@NullMarked
package org.cassiastack.limit;

import org.jspecify.annotations.NullMarked;
