/** The messages that entries and agents exchange. */
package org.knapweedmount.api.message;
