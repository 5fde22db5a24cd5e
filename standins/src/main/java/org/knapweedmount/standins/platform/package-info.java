/** Simulates the platform's table service and object store, with injected outages. */
package org.knapweedmount.standins.platform;
