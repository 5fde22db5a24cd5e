/** The HTTP interface for callers: parsing, problem documents, answers and the requests that wait for them. */
package org.knapweedmount.daemon.http;
