/** The links between processes: one TCP connection with framed messages per pair of processes. */
package org.knapweedmount.daemon.link;
