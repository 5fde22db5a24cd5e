/** The decisions of an agent: whom its free slots go to, which starts it accepts, and what it remembers of them. */
package org.knapweedmount.core.agent;
