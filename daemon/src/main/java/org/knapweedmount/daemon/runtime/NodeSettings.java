package org.knapweedmount.daemon.runtime;

import java.util.List;

import org.knapweedmount.daemon.settings.HostPort;

/**
 * What a process on a prepared VM needs to know to take part.
 *
 * @param name the process's name
 * @param region the region that it is in
 * @param dataCentre the data centre that it is in
 * @param host the VM's IP number
 * @param linkPort the TCP port on which entries accept links; the same on all VMs
 * @param seeds addresses at which entries may listen for links
 * @param drainMillis how long a planned stop may take, in ms
 */
public record NodeSettings(
        String name,
        String region,
        String dataCentre,
        String host,
        int linkPort,
        List<HostPort> seeds,
        int drainMillis) {
    /** Copies the list. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }
}
