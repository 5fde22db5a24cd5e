/** The process of an entry: it joins the decisions with links, HTTP, the table service and tickets. */
package org.knapweedmount.daemon.entry;
