package org.knapweedmount.api.message;

import org.knapweedmount.api.Resources;

/**
 * Offers room on a worker to an entry that has a demand; the entry answers by a {@link RunOrder}.
 *
 * @param number the number of the offer, from 1 up
 * @param resources the room that is kept for the entry for a moment
 */
public record ResourceOffer(long number, Resources resources) implements Message {}
