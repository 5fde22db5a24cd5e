/** Identifiers, outcomes and job descriptions shared by every module. */
package org.knapweedmount.api;
