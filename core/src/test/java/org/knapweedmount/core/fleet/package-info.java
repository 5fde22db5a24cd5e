/** Simulation of entries and agents with unreliable links in virtual time, to check the guarantees of the system. */
package org.knapweedmount.core.fleet;
