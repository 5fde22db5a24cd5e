/** The daemon: settings, links, HTTP interfaces and the threads that run the decisions. */
package org.knapweedmount.daemon;
