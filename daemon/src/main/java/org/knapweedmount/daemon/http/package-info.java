/** The HTTP interface for callers: request parsing, problem documents, responses and pending requests. */
package org.knapweedmount.daemon.http;
