/** The entry process, which connects the decision core with links, HTTP, the table service and tickets. */
package org.knapweedmount.daemon.entry;
