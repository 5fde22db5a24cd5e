/** Parsing and serialization of JSON trees without the object mapper. */
package org.knapweedmount.daemon.json;
