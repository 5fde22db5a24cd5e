/** The settings file of a process, read and checked when the process starts. */
package org.knapweedmount.daemon.settings;
