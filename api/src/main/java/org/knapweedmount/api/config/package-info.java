/** The objects that change tickets replace: services, kinds, teams and drains. */
package org.knapweedmount.api.config;
