/** Customer quotas that hold across all coordinators, and admission by expected waiting time. */
@NullMarked
package org.cassiastack.limit;

import org.jspecify.annotations.NullMarked;
