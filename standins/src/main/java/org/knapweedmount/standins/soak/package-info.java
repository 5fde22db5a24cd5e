/** Runs the programs of the prepared VMs as separate processes under faults, and checks what workers and callers see. */
package org.knapweedmount.standins.soak;
