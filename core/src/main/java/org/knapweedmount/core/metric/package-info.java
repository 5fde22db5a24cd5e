/** Counters and invariants of the decision modules. */
package org.knapweedmount.core.metric;
