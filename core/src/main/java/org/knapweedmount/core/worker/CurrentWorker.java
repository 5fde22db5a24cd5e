package org.knapweedmount.core.worker;

import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Resources;

/** The latest incarnation of the worker, as its announcements and replies show it. */
final class CurrentWorker {
    private static final WorkerAnnouncement NONE =
            new WorkerAnnouncement(new WorkerIncarnation("", 0), "", 0, Resources.NONE, List.of(), false, 0);

    private Optional<WorkerAnnouncement> announcement = Optional.empty();
    private Optional<WorkerIncarnation> successor = Optional.empty();
    private boolean ended;
    private boolean leaving;

    /** Returns whether any worker has announced itself. */
    boolean known() {
        return announcement.isPresent();
    }

    /** Returns the latest announcement, with empty values if there is none. */
    WorkerAnnouncement announcement() {
        return announcement.orElse(NONE);
    }

    WorkerIncarnation incarnation() {
        return announcement().incarnation();
    }

    boolean isCurrent(WorkerIncarnation incarnation) {
        return known() && incarnation().equals(incarnation);
    }

    /**
     * Returns whether an announcement is older than the latest one, or comes from an earlier incarnation as far as is
     * known. The times at which two workers started say nothing once the current one has gone: another one answers in its
     * place, or it has said that it leaves.
     *
     * @param hasRuns whether the current worker has runs
     */
    boolean isOutdated(WorkerAnnouncement received, boolean hasRuns) {
        if (isCurrent(received.incarnation())) {
            return received.sequence() <= announcement().sequence();
        }
        boolean listed = successor.isPresent() && successor.get().equals(received.incarnation());
        return known()
                && !listed
                && !displaced()
                && !(leaving && !hasRuns)
                && received.incarnation().startMillis() <= incarnation().startMillis();
    }

    /** Returns the outcome of an outdated announcement: a repetition of the latest one is in force, any other is not. */
    AnnouncementOutcome outcomeOfOutdated(WorkerAnnouncement received) {
        return received.equals(announcement()) ? AnnouncementOutcome.REPEATED : AnnouncementOutcome.OUTDATED;
    }

    /** Replaces the latest announcement by one that is not outdated; it shows that the worker is there. */
    void announced(WorkerAnnouncement received) {
        successor = Optional.empty();
        ended = false;
        leaving = false;
        announcement = Optional.of(received);
    }

    /** Records a notice of leaving, which may be a late one of an earlier incarnation; an announcement revokes it. */
    void markLeaving() {
        leaving = true;
    }

    /** Returns whether the worker may have left. */
    boolean leaving() {
        return leaving;
    }

    /** Records that another worker answers; the incarnation gets no orders unless it announces itself again. */
    void markEnded() {
        ended = known();
    }

    /** Records that another incarnation answers under the same ID, which may have started earlier by its VM's clock. */
    void markReplaced(long startMillis) {
        markEnded();
        successor = Optional.of(new WorkerIncarnation(incarnation().id(), startMillis));
    }

    /** Records that a worker with another ID answers in place of the next incarnation. */
    void markDisplaced() {
        successor = Optional.empty();
    }

    /** Returns the next incarnation, which answers but has not announced itself. */
    Optional<WorkerIncarnation> successor() {
        return successor;
    }

    boolean isSuccessor(WorkerIncarnation incarnation) {
        return successor.isPresent() && successor.get().equals(incarnation);
    }

    /** Returns whether a worker with another ID answers instead, which does not show that this one has ended. */
    boolean displaced() {
        return ended && successor.isEmpty();
    }

    /** Returns whether the worker may be sent runs. */
    boolean acceptsStarts() {
        return isPresent() && !leaving && !announcement().draining();
    }

    /** Returns whether the worker may be sent orders. */
    boolean isPresent() {
        return known() && !ended;
    }
}
