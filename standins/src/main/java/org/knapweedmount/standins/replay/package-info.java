/** Computes what other placement policies would have answered to the arrivals of a measured run. */
package org.knapweedmount.standins.replay;
