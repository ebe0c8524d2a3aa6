package org.cassiastack.filter;

import org.cassiastack.model.Job;

/**
 * A caller's request on its way through the filter chain.
 *
 * @param job what the caller asks for
 * @since 0.1
 */
public record Request(Job job) {}
