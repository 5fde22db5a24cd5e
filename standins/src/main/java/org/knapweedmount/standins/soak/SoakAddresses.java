package org.knapweedmount.standins.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

import org.knapweedmount.standins.support.HostPort;

/**
 * The loopback addresses of a soak: each VM has its own, in a subnet that no other soak uses.
 *
 * @param subnet the first two numbers, for instance {@code 127.31}
 */
record SoakAddresses(String subnet) {
    private static final int FIRST_SUBNET = 16;
    private static final int SUBNETS = 230;
    private static final int CALLERS_PORT = 8161;
    private static final int WORKER_PORT = 8165;
    private static final int ANNOUNCEMENTS_PORT = 8166;
    private static final int READINESS_PORT = 8167;
    private static final int STORE_PORT = 8169;
    private static final int LINK_PORT = 7720;
    private static final int METRICS_PORT = 7735;

    /** Finds a subnet whose store address is free. */
    static SoakAddresses find() throws IOException {
        long first = ProcessHandle.current().pid();
        for (int i = 0; i < SUBNETS; i++) {
            SoakAddresses addresses = new SoakAddresses("127." + (FIRST_SUBNET + (first + i) % SUBNETS));
            if (addresses.isFree()) {
                return addresses;
            }
        }
        throw new IOException("no free loopback subnet");
    }

    private boolean isFree() {
        HostPort store = store();
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(store.host()), store.port()));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    HostPort store() {
        return new HostPort(subnet + ".0.1", STORE_PORT);
    }

    String entryHost(int number) {
        return subnet + ".1." + number;
    }

    /** Returns the address under which the other programs reach an entry. */
    String relayHost(int entry) {
        return subnet + ".4." + entry;
    }

    /** Replaces the address of an entry by that of its relay. */
    String relayed(String host) {
        String entries = subnet + ".1.";
        return host.startsWith(entries) ? subnet + ".4." + host.substring(entries.length()) : host;
    }

    /** Replaces the address of an entry in its row by that of its relay. */
    String relayedRow(String row) {
        return row.replace("\"" + subnet + ".1.", "\"" + subnet + ".4.");
    }

    String agentHost(int number) {
        return subnet + ".2." + number;
    }

    HostPort callers(int entry) {
        return new HostPort(entryHost(entry), CALLERS_PORT);
    }

    /** Returns the address of the relay through which callers reach an entry. */
    HostPort callerRelay(int entry) {
        return new HostPort(subnet + ".5." + entry, CALLERS_PORT);
    }

    HostPort readiness(int entry) {
        return new HostPort(entryHost(entry), READINESS_PORT);
    }

    HostPort announcements(String host) {
        return new HostPort(host, ANNOUNCEMENTS_PORT);
    }

    /** Returns the address of the settings at which an agent calls the worker on its VM. */
    HostPort worker(int agent) {
        return new HostPort(agentHost(agent), WORKER_PORT);
    }

    int linkPort() {
        return LINK_PORT;
    }

    int metricsPort() {
        return METRICS_PORT;
    }
}
