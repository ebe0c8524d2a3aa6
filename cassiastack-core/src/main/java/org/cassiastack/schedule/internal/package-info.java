/** Implementation of the leader's scheduling: workers, jobs, placement and ledger commits. */
@NullMarked
package org.cassiastack.schedule.internal;

import org.jspecify.annotations.NullMarked;
