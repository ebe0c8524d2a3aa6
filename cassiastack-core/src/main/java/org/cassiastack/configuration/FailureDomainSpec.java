package org.cassiastack.configuration;

import org.cassiastack.model.FailureDomain;

/**
 * What operators declare of a failure domain.
 *
 * @param name its name
 * @param region the region that it belongs to
 * @param inService whether tasks may start in it
 * @since 0.1
 */
public record FailureDomainSpec(FailureDomain name, String region, boolean inService) {}
