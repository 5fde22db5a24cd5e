package org.knapweedmount.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Applies a change ticket from a file. */
final class TicketApplyCommand implements Command {
    @Parameter(description = "FILE, JSON with comments: number, author and objects")
    private List<Path> files = new ArrayList<>();

    @Parameter(names = "--number", description = "Number of the ticket; overrides the one in the file")
    private Long number;

    @Parameter(
            names = "--author",
            description = "Author of the ticket; defaults to the one in the file or else to the user name")
    private String author;

    @Override
    public String name() {
        return "ticket apply";
    }

    @Override
    public String summary() {
        return "Apply a change ticket";
    }

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        ObjectNode ticket = JsonText.readFile(Operand.only(files, "FILE"));
        long ticketNumber = resolveNumber(ticket);
        if (author != null) {
            ticket.put("author", author);
        } else if (!ticket.has("author")) {
            ticket.put("author", System.getProperty("user.name"));
        }
        ApiResponse response = context.callOperatorApi("PUT", "/v1/tickets/" + ticketNumber, ticket);
        return context.printResponse(response, TicketApplyCommand::format);
    }

    private long resolveNumber(ObjectNode ticket) throws CliException {
        JsonNode numberInFile = ticket.remove("number");
        if (number != null) {
            return number;
        }
        if (numberInFile == null || !numberInFile.canConvertToLong() || numberInFile.longValue() < 1) {
            String found = numberInFile == null ? "none" : numberInFile.toString();
            throw new CliException(
                    ExitCode.USAGE, "expected a positive ticket number in the file, found " + found + "; see --number");
        }
        return numberInFile.longValue();
    }

    private static String format(JsonNode response) {
        return "ticket " + response.path("number").asText() + " "
                + response.path("state").asText() + "\n";
    }
}
