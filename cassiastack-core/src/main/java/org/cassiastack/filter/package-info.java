/** The filter chain that each caller's request passes before it reaches a coordinator. */
@NullMarked
package org.cassiastack.filter;

import org.jspecify.annotations.NullMarked;
