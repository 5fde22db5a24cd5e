/** Relays TCP connections between processes, to simulate delays, stalls and network partitions. */
package org.knapweedmount.standins.relay;
