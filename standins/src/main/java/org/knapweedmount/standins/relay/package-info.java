/** Relays TCP connections between processes, to delay and to cut them. */
package org.knapweedmount.standins.relay;
