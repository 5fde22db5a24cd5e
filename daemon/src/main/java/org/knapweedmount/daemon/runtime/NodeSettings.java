package org.knapweedmount.daemon.runtime;

import java.util.List;

import org.knapweedmount.core.dispatch.DispatchSettings;
import org.knapweedmount.daemon.settings.HostPort;

/**
 * The settings of an entry or agent on a VM of the platform.
 *
 * @param name the name of the process
 * @param region the region of the data centre
 * @param dataCentre the data centre that the process runs in
 * @param host the IP address of the VM
 * @param linkPort the TCP port on which entries accept links, the same on all VMs
 * @param seeds the link addresses that are dialled to find entries
 * @param drainMillis the time limit of a planned stop, in ms
 * @param dispatch what the operator sets for the placement of runs; an agent does not use it
 */
public record NodeSettings(
        String name,
        String region,
        String dataCentre,
        String host,
        int linkPort,
        List<HostPort> seeds,
        int drainMillis,
        DispatchSettings dispatch) {
    /** Copies the seeds. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }
}
