package org.knapweedmount.core.worker;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.WorkerCondition;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.core.worker.health.WorkerLifecycle;

/** Creates the reports of the worker to entries, and decides when they are sent. */
final class WorkerReports {
    private final EntryTable entries;
    private final RunTable runs;
    private final WorkerLease lease;
    private final CurrentWorker worker;
    private final SlowdownEstimator slowdown;
    private final WorkerLifecycle lifecycle;
    private final StartGate gate;

    WorkerReports(WorkerParts parts, StartGate gate) {
        this.entries = parts.entries();
        this.runs = parts.runs();
        this.lease = parts.lease();
        this.worker = parts.worker();
        this.slowdown = parts.slowdown();
        this.lifecycle = parts.lifecycle();
        this.gate = gate;
    }

    /** Reports to an entry at once. */
    void send(Incarnation entry, long nowNanos) {
        entries.send(entry, report(entry, nowNanos), nowNanos);
    }

    /** Reports to the entries whose last report is old or differs much from the present state. */
    void sendDue(long nowNanos) {
        entries.report(
                entry -> report(entry, nowNanos),
                new ReportRule.View(
                        gate.acceptsStarts(nowNanos), gate.free(), gate.capacity(), slowdown.percent(nowNanos)),
                worker.incarnation().id(),
                entry -> runs.any(run -> run.entry().equals(entry)),
                nowNanos);
    }

    private WorkerReport report(Incarnation entry, long nowNanos) {
        EntryView entryView = entries.of(entry);
        WorkerAnnouncement known = worker.announcement();
        return new WorkerReport(
                lease.issueTimestampNanos(nowNanos),
                known.service(),
                known.incarnation().toString(),
                known.labels(),
                known.capacity(),
                gate.free(),
                gate.acceptsStarts(nowNanos),
                entryView.lastOrderNumber(),
                entries.backlogCoreMillisExcept(entryView),
                slowdown.percent(nowNanos),
                entries.isPrompt(entry),
                new WorkerCondition(
                        gate.availability(nowNanos), lifecycle.coldMillis(nowNanos), runs.interferingPairs(nowNanos)));
    }
}
