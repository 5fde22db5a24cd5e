/** What the stand-ins share: arguments, addresses and JSON answers. */
package org.knapweedmount.standins.support;
