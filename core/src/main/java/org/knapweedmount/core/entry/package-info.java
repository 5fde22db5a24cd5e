/** The decisions of an entry: which submissions it accepts, where their tasks run, and what callers are answered. */
package org.knapweedmount.core.entry;
