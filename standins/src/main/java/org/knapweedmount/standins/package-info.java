/** Stand-ins for the systems around the product, and tools that put load on it and measure it. */
package org.knapweedmount.standins;
