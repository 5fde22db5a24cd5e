package org.knapweedmount.api.message;

/**
 * Tells an agent whether its data centre is closed for starts; sent by entries.
 *
 * @param version the version of the {@link ClosedDataCentres} that the notice was derived from
 * @param closed whether nothing may be started in the data centre of the agent
 */
public record EvacuationNotice(long version, boolean closed) implements Message {}
