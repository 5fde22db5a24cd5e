/** Measures what a site of entries and agents costs, in virtual time. */
package org.knapweedmount.standins.bench;
