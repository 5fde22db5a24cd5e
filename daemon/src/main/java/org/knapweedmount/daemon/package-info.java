/** The main class of the daemon; the settings, links, HTTP interfaces and threads are in its subpackages. */
package org.knapweedmount.daemon;
