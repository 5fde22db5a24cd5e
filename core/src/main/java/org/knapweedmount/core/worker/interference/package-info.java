/** Learns, from the durations of runs, which kinds of tasks slow each other down on one worker. */
package org.knapweedmount.core.worker.interference;
