/** Stand-ins that simulate the systems around the product, and tools that generate load and measure response times. */
package org.knapweedmount.standins;
