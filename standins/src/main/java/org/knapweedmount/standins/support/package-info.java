/** Code shared by the stand-ins: command-line arguments, addresses and JSON over HTTP. */
package org.knapweedmount.standins.support;
