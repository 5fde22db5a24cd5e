package org.knapweedmount.daemon.http;

/**
 * One header of an HTTP response.
 *
 * @param name the header's name
 * @param value the header's value
 */
public record Header(String name, String value) {}
