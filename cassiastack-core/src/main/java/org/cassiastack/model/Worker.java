package org.cassiastack.model;

/**
 * A machine that runs tasks.
 *
 * @param name name of the machine
 * @param rack the rack that it sits in
 * @param failureDomain the failure domain that the rack belongs to
 * @param processors number of processors
 * @param memoryMegabytes memory in megabytes
 * @since 0.1
 */
public record Worker(
    String name, String rack, FailureDomain failureDomain, int processors, int memoryMegabytes) {}
