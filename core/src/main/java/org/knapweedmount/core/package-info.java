/** Decisions without input or output: each takes the present time as an argument and hands its results to a port. */
package org.knapweedmount.core;
