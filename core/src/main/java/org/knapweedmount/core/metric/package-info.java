/** Counters, and checks of internal invariants, for the decision logic. */
package org.knapweedmount.core.metric;
