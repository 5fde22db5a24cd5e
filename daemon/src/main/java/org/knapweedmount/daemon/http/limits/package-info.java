/**
 * Limits for callers outside anyone's control: the bytes and connections that they may hold, and the progress that their
 * requests have to make.
 */
package org.knapweedmount.daemon.http.limits;
