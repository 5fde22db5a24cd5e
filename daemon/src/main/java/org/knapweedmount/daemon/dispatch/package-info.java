/** The entry process that dispatches jobs to workers. */
package org.knapweedmount.daemon.dispatch;
