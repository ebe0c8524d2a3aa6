package org.cassiastack.configuration;

import org.cassiastack.model.FailureDomain;

/**
 * The declaration of a failure domain.
 *
 * @param name name of the failure domain
 * @param region the region that contains the failure domain
 * @param inService whether tasks may start in the failure domain
 * @since 0.1
 */
public record FailureDomainSpec(FailureDomain name, String region, boolean inService) {}
