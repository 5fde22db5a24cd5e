/** The settings file of a process, read and validated when the process starts. */
package org.knapweedmount.daemon.settings;
