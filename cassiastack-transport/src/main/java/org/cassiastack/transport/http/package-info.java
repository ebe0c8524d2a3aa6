/** HTTP servers for callers and operators, and HTTP clients of entries and minions. */
@NullMarked
package org.cassiastack.transport.http;

import org.jspecify.annotations.NullMarked;
