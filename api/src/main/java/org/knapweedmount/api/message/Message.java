package org.knapweedmount.api.message;

/**
 * A message between two processes of the system.
 *
 * <p>Messages on one link arrive in the order in which they were sent, or not at all. There is no guarantee about the
 * order of messages on different links or about transmission times.
 */
public sealed interface Message
        permits Hello,
                Heartbeat,
                Leaving,
                Peers,
                Roster,
                Capacity,
                Demand,
                Grant,
                Recall,
                Release,
                Start,
                Finished,
                NotStarted,
                Resume,
                Resumed,
                CancelTasks,
                Seal,
                SealBatch,
                Sealed,
                SealedBatch,
                RelayRequest,
                RelayAnswer,
                ConfigUpdate,
                ConfigApplied,
                WorkerReport,
                ResourceDemand,
                ResourceOffer,
                RunOrder,
                StopRuns,
                RunsEnded,
                ActiveRuns,
                LeaseRenewal,
                QueueUpdate,
                JobOwnershipUpdate,
                YieldJob,
                OwnershipProbe,
                OwnershipProbeReply,
                LinkedEntries,
                RelayedYield,
                RelayedEnd,
                CancelJob,
                CancelReply,
                ClosedDataCentres,
                EvacuationNotice,
                EntryAdmission {}
