/** The command-line tool for operators and callers. */
package org.knapweedmount.cli;
