/** Stands in for the platform's table service and object store, with switches for its outages. */
package org.knapweedmount.standins.platform;
