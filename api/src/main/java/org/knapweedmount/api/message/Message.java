package org.knapweedmount.api.message;

/**
 * A message between two processes of the system.
 *
 * <p>Messages of one link arrive in the order sent or not at all. Nothing is assumed about messages of different links,
 * nor about how long one takes.
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
                YieldJob {}
