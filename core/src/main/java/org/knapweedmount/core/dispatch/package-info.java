/** Scheduling of jobs at an entry: admission, queue order, placement on workers and the final result. */
package org.knapweedmount.core.dispatch;
