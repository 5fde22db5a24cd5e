/** Decides from evidence whether a worker is used, without input or output: its health, cold start and departure. */
package org.knapweedmount.core.worker.health;
