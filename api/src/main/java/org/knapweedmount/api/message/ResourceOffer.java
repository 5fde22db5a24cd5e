package org.knapweedmount.api.message;

import org.knapweedmount.api.Resources;

/**
 * Offers resources of a worker to an entry that has a demand; the entry answers with a {@link RunOrder}.
 *
 * @param number the number of the offer, from 1 up
 * @param resources the resources that are reserved for the entry for a short time
 */
public record ResourceOffer(long number, Resources resources) implements Message {}
