/** The decision logic of an agent: granting slot leases, admitting starts, and keeping records of started tasks. */
package org.knapweedmount.core.agent;
