/** The encoding of messages between processes: length-prefixed frames of MessagePack over TCP. */
package org.knapweedmount.wire;
