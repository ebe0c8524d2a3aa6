package org.cassiastack.model;

/**
 * A machine that runs tasks.
 *
 * @param name name as given in the settings of the worker's agent
 * @param rack the rack that contains the worker
 * @param failureDomain the failure domain that the rack belongs to
 * @param processors number of processors of the worker
 * @param memoryMegabytes memory of the worker in megabytes
 * @since 0.1
 */
public record Worker(
    String name, String rack, FailureDomain failureDomain, int processors, int memoryMegabytes) {}
