/** The configuration objects that change tickets set: services, kinds, teams and drains. */
package org.knapweedmount.api.config;
