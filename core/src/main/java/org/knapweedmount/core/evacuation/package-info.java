/** Evacuation of data centres by the operator: what entries and agents know of it, and the reopening in steps. */
package org.knapweedmount.core.evacuation;
