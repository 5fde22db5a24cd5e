package org.knapweedmount.api.message;

import org.knapweedmount.api.Resources;

/**
 * What an agent has for one service; sent whenever it changes, with zero slots when the last endpoint has left.
 *
 * @param service the service
 * @param slots the number of tasks that can run at a time
 * @param resources the resources of the largest worker, {@link Resources#NONE} if slots are the only limit
 */
public record Capacity(String service, int slots, Resources resources) implements Message {}
