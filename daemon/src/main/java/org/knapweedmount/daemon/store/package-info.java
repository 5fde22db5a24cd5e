/** The client of the platform's table service and what the daemon keeps in its tables. */
package org.knapweedmount.daemon.store;
