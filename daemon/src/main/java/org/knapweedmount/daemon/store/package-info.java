/** The client of the platform's table service and the daemon's claims and entry rows in it. */
package org.knapweedmount.daemon.store;
