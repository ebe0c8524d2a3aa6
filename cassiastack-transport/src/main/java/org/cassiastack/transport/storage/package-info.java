/** The data folder of a control member: log segments, hard state, snapshots and identity. */
@NullMarked
package org.cassiastack.transport.storage;

import org.jspecify.annotations.NullMarked;
