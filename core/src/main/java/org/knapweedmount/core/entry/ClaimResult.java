package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.SubmissionId;

/**
 * The result of claiming an idempotency key.
 *
 * @param claimedId the ID that the key is bound to, empty if the table service did not confirm a claim
 */
public record ClaimResult(Optional<SubmissionId> claimedId) {}
