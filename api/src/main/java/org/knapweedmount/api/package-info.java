/** Identifiers, outcomes and job descriptions that all modules use. */
package org.knapweedmount.api;
