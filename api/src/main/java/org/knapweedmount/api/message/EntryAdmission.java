package org.knapweedmount.api.message;

/**
 * Tells a process whether the sending entry admits jobs; the first message of an entry on each link.
 *
 * <p>An entry that has just started admits none until it knows the jobs of the others, so it holds nothing that another
 * entry would have to wait for.
 *
 * @param open true from the moment at which the entry admits jobs
 */
public record EntryAdmission(boolean open) implements Message {}
