package org.knapweedmount.api.message;

import org.knapweedmount.api.Resources;

/**
 * Reports the capacity of an agent for one service; sent whenever it changes, with zero slots once the last endpoint
 * has left.
 *
 * @param service the name of the service
 * @param slots the number of tasks that can run concurrently
 * @param resources the maximum of each amount among the workers, {@link Resources#NONE} if slots are the only limit
 */
public record Capacity(String service, int slots, Resources resources) implements Message {}
