/** The decision logic of an entry: accepts submissions, assigns their tasks to agents and answers callers. */
package org.knapweedmount.core.entry;
