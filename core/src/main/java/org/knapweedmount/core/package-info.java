/** Decision logic without I/O: the current time is passed as an argument, and actions go to an output interface. */
package org.knapweedmount.core;
