/** The thread that takes decisions, and the bounded ring that feeds it. */
package org.knapweedmount.daemon.runtime;
