/** What would be decided about a request or job now, by each input of the decision. */
package org.knapweedmount.core.explain;
