/** Entries and agents joined by unreliable links in virtual time, to check what must hold between them. */
package org.knapweedmount.core.fleet;
