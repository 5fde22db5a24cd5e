/** The form in which messages travel between processes: frames of MessagePack over TCP. */
package org.knapweedmount.wire;
