package org.knapweedmount.core.config;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigType;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.RemovedConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class TicketReaderTest {
    private static final String EVERY_TYPE = """
            {
              // a comment
              "author": "ana", "objects": [
                {"type": "service", "name": "dues", "defaultKind": "check", "maxBodyBytes": 1000, "shortOnlyShare": 0.25},
                {"type": "kind", "name": "check", "service": "dues", "repeatable": true, "shortTask": true, "weight": 2,
                 "expectedMillis": 80, "maxWaitMillis": 500, "resources": {"milliCores": 250}},
                {"type": "team", "name": "north", "weight": 1.5, "quotaShare": 0.5},
                {"type": "drain", "name": "data-centre:bilbao"},
                {"type": "team", "name": "south", "removed": true}
              ]
            }
            """;
    private static final Ticket TICKET = new Ticket(
            7,
            "ana",
            List.of(
                    new ServiceConfig("dues", "check", 1_000, 0.25),
                    new KindConfig("check", "dues", true, true, 2, 80, 500, new Resources(250, 0, 0)),
                    new TeamConfig("north", 1.5, 0.5),
                    new DrainConfig("data-centre:bilbao"),
                    new RemovedConfig(new ConfigKey(ConfigType.TEAM, "south"))));

    @Test
    void readsEveryType() throws Exception {
        assertThat(read(EVERY_TYPE), is(TICKET));
    }

    @Test
    void writtenTicketsReadBackAsEqual() throws Exception {
        assertThat(TicketReader.readTicket(TicketWriter.ticket(TICKET)), is(TICKET));
        for (int i = 0; i < TICKET.objects().size(); i++) {
            Ticket part = new Ticket(7, "ana", List.of(TICKET.objects().get(i)));
            assertThat(
                    TicketReader.readObjectInForce(
                            TicketWriter.objectInForce(TICKET, TICKET.objects().get(i))),
                    is(part));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{'objects':[{'type':'drain','name':'a'}]}|author: missing; expected a text",
                "{'author':' ','objects':[{'type':'drain','name':'a'}]}|author: \" \" is not allowed",
                "{'author':'ana','objects':[]}|objects: 0 objects",
                "{'author':'ana','number':3,'objects':[{'type':'drain','name':'a'}]}|number: unknown field",
                "{'author':'ana','objects':[{'name':'a'}]}|objects[0].type: missing",
                "{'author':'ana','objects':[{'type':'queue','name':'a'}]}|expected one of service, kind, team, drain",
                "{'author':'ana','objects':[{'type':'drain','name':'a b'}]}|objects[0].name: \"a b\" is not allowed",
                "{'author':'ana','objects':[{'type':'drain','name':'a'},{'type':'drain','name':'a'}]}|objects[1].name",
                "{'author':'ana','objects':[{'type':'drain','name':'a','removed':false}]}|objects[0].removed: false",
                "{'author':'ana','objects':[{'type':'team','name':'a','removed':true,'weight':1}]}|weight: unknown field",
                "{'author':'ana','objects':[{'type':'team','name':'a/b','weight':1,'quotaShare':1}]}|objects[0].name",
                "{'author':'ana','objects':[{'type':'team','name':'a','weight':0,'quotaShare':1}]}|a number from 0.001",
                "{'author':'ana','objects':[{'type':'team','name':'a','weight':1,'quotaShare':1.1}]}|quotaShare: 1.1 is",
                "{'author':'ana','objects':[{'type':'team','name':'a','weight':'1','quotaShare':1}]}|weight: \"1\" is",
                "{'author':'ana','objects':[{'type':'kind','name':'a','service':'s'}]}|repeatable: missing",
            })
    void errorNamesTheFieldAndTheExpectedValues(String json, String message) {
        ParseException error = assertThrows(ParseException.class, () -> read(json.replace('\'', '"')));

        assertThat(error.getMessage(), containsString(message));
    }

    @Test
    void numberOutOfRangeIsRejected() {
        byte[] json = EVERY_TYPE.getBytes(StandardCharsets.UTF_8);

        assertThrows(ParseException.class, () -> TicketReader.readBody(0, json));
        assertThrows(ParseException.class, () -> TicketReader.readBody(TicketReader.MAX_NUMBER + 1, json));
    }

    private static Ticket read(String json) throws ParseException {
        return TicketReader.readBody(7, json.getBytes(StandardCharsets.UTF_8));
    }
}
