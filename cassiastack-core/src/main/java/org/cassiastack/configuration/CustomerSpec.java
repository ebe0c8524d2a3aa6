package org.cassiastack.configuration;

import org.cassiastack.model.Customer;

/**
 * The declaration of a customer.
 *
 * @param name name of the customer
 * @param maxTasksPerSecond maximum rate of tasks, for all coordinators together
 * @param maxConcurrentTasks maximum number of tasks in flight, for all coordinators together
 * @since 0.1
 */
public record CustomerSpec(Customer name, int maxTasksPerSecond, int maxConcurrentTasks) {}
