/** The links between processes: TCP connections that carry frames, one for each pair of processes. */
package org.knapweedmount.daemon.link;
