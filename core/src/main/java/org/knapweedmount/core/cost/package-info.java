/** The cost model of runs: how long a run of a task would take on a worker, and when it would end. */
package org.knapweedmount.core.cost;
