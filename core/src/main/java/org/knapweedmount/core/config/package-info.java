/** The current configuration, built from change tickets, and the JSON format of tickets. */
package org.knapweedmount.core.config;
