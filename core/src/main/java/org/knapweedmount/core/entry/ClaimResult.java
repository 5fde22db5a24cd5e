package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.SubmissionId;

/**
 * The result of claiming a caller's own key.
 *
 * @param claimedId the id that the key stands for, empty if the table service could not be asked
 */
public record ClaimResult(Optional<SubmissionId> claimedId) {}
