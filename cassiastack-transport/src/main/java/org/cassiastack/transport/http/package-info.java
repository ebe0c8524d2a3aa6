/** HTTP towards callers, operators and minions. */
@NullMarked
package org.cassiastack.transport.http;

import org.jspecify.annotations.NullMarked;
