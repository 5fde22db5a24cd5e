/** The messages between entries and agents. */
package org.knapweedmount.api.message;
