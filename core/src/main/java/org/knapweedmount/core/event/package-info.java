/** The order in which a process handles its events. */
package org.knapweedmount.core.event;
