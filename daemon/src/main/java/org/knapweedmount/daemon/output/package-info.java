/** The output of a process: one bounded queue of lines and the thread that writes them. */
package org.knapweedmount.daemon.output;
