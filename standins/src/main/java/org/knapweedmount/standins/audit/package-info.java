/** Finds overlapping runs of one task in the logs of entries and agents. */
package org.knapweedmount.standins.audit;
