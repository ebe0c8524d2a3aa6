package org.cassiastack.request;

import org.cassiastack.controller.Effect;

/**
 * Effect: closes the connections to all fallback dispatchers that this process has dialed.
 *
 * @since 0.4
 */
public record HangUpFallback() implements Effect {}
