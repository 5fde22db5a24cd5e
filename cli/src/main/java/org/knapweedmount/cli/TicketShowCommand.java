package org.knapweedmount.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;

/** Shows one accepted ticket. */
final class TicketShowCommand implements Command {
    @Parameter(description = "NUMBER")
    private List<Long> numbers = new ArrayList<>();

    @Override
    public String name() {
        return "ticket show";
    }

    @Override
    public String summary() {
        return "Show an accepted ticket";
    }

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        long number = Operand.only(numbers, "NUMBER");
        ApiResponse response = context.callOperatorApi(ApiRequest.of("GET", "/v1/tickets/" + number));
        return context.printResponse(response, JsonNode::toPrettyString);
    }
}
