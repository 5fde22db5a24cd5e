package org.knapweedmount.wire;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.config.ConfigType;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.RelayRequest.Operation;
import org.knapweedmount.api.message.TaskState;
import org.knapweedmount.api.message.WorkerCondition.Availability;
import org.knapweedmount.api.work.RunOutcome;

/**
 * Maps the constants of an enum to their numbers in frames.
 *
 * <p>A number is a position in one of the lists below, so that it does not depend on the order in which the enum
 * declares its constants. New constants must be added at the end of their list.
 */
final class EnumFormat<E extends Enum<E>> {
    static final EnumFormat<Role> ROLE = new EnumFormat<>(Role.class, List.of(Role.ENTRY, Role.AGENT));

    static final EnumFormat<Outcome> OUTCOME = new EnumFormat<>(
            Outcome.class, List.of(Outcome.COMPLETE, Outcome.FAILED, Outcome.NOT_RUN, Outcome.UNKNOWN));

    static final EnumFormat<Reason> REASON = new EnumFormat<>(
            Reason.class,
            List.of(
                    Reason.NONE,
                    Reason.MALFORMED,
                    Reason.UNKNOWN_SERVICE,
                    Reason.UNKNOWN_KIND,
                    Reason.UNKNOWN_TEAM,
                    Reason.UNKNOWN_SUBMISSION,
                    Reason.CONFLICT,
                    Reason.TOO_LARGE,
                    Reason.FITS_NO_WORKER,
                    Reason.OVERLOADED,
                    Reason.OVER_QUOTA,
                    Reason.NO_ENDPOINT,
                    Reason.DRAINING,
                    Reason.LEASE_LAPSED,
                    Reason.SEALED,
                    Reason.CANCELLED,
                    Reason.STORE_UNAVAILABLE,
                    Reason.ENDPOINT_UNREACHABLE,
                    Reason.TASK_FAILED,
                    Reason.CONNECTION_LOST,
                    Reason.TIMEOUT,
                    Reason.FORGOTTEN));

    static final EnumFormat<TaskState> TASK_STATE = new EnumFormat<>(
            TaskState.class,
            List.of(TaskState.NOT_STARTED, TaskState.RUNNING, TaskState.FINISHED, TaskState.FORGOTTEN));

    static final EnumFormat<LeaseScope> LEASE_SCOPE =
            new EnumFormat<>(LeaseScope.class, List.of(LeaseScope.ANY, LeaseScope.SHORT_ONLY));

    static final EnumFormat<Operation> OPERATION =
            new EnumFormat<>(Operation.class, List.of(Operation.SUBMIT, Operation.STATUS, Operation.CANCEL));

    static final EnumFormat<ConfigType> CONFIG_TYPE = new EnumFormat<>(
            ConfigType.class, List.of(ConfigType.SERVICE, ConfigType.KIND, ConfigType.TEAM, ConfigType.DRAIN));

    static final EnumFormat<RunOutcome> RUN_OUTCOME = new EnumFormat<>(
            RunOutcome.class,
            List.of(
                    RunOutcome.DONE,
                    RunOutcome.FAILED,
                    RunOutcome.STOPPED,
                    RunOutcome.LAPSED,
                    RunOutcome.REFUSED,
                    RunOutcome.OUTDATED));

    static final EnumFormat<Availability> AVAILABILITY = new EnumFormat<>(
            Availability.class, List.of(Availability.OPEN, Availability.UNHEALTHY, Availability.CLOSED));

    private final List<E> constants;
    private final Map<E, Integer> numbers;

    EnumFormat(Class<E> type, List<E> constants) {
        this.constants = constants;
        this.numbers = new EnumMap<>(type);
        for (int number = 0; number < constants.size(); number++) {
            numbers.put(constants.get(number), number);
        }
        if (numbers.size() != type.getEnumConstants().length) {
            throw new IllegalArgumentException("not all constants have a number: " + type);
        }
    }

    int number(E constant) {
        return numbers.get(constant);
    }

    E constant(int number) throws FrameException {
        if (number < 0 || number >= constants.size()) {
            throw new FrameException(
                    "unknown constant number " + number + ", allowed are 0 to " + (constants.size() - 1));
        }
        return constants.get(number);
    }
}
