package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.SubmissionId;

/**
 * The result of claiming an idempotency key.
 *
 * @param claimedId the ID that the key stands for, empty if the table service could not be asked
 */
public record ClaimResult(Optional<SubmissionId> claimedId) {}
