/** The configuration in force, built from change tickets. */
package org.knapweedmount.core.config;
