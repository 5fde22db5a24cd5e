/** Simulates the response times of other placement policies for the arrivals of a measured run. */
package org.knapweedmount.standins.replay;
