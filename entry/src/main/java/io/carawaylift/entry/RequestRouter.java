package io.carawaylift.entry;

import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.entry.AttemptResult.Unknown;
import io.carawaylift.entry.ResultDelivery.PendingRequest;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Headers;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.Ticket;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Handles a request in the role that this process has for it: issuer of tickets, entry process, keeper of the ledger,
 * or owner. Thread-safe.
 */
final class RequestRouter implements ServerState.ServerHandler {
    private static final Pattern TICKETS = Pattern.compile("/tickets(?:\\?count=([0-9]{1,3}))?");
    private static final int MAX_TICKETS = 100;
    private static final int MAX_ID_LENGTH = 200;
    private static final int RADIX = 36;

    private final EntryProcess self;
    private final Dependencies dependencies;
    private final AtomicLong requestCount = new AtomicLong();

    /** Components that the router uses. */
    record Dependencies(
            RequestExecution.Dependencies executionDependencies,
            AtMostOnceRequests atMostOnce,
            TicketForwarder forwarder,
            ResultDelivery delivery,
            DecisionLog log,
            EntryMetrics metrics) {}

    private record Tickets(List<String> tickets) {}

    RequestRouter(EntryProcess self, Dependencies dependencies) {
        this.self = self;
        this.dependencies = dependencies;
    }

    @Override
    public void handle(RawRequest raw, CallerResponse response) {
        RequestTrace trace = createTrace(raw);
        try {
            route(raw, response, trace);
        } catch (CarawayliftException e) {
            if (e.code() == ResultCode.INVARIANT_VIOLATED) {
                failInternally(response, trace, e);
            } else {
                respond(response, trace, Refused.of(e.code(), detail(e)));
            }
        } catch (RuntimeException e) {
            failInternally(response, trace, e);
        }
    }

    /** Aborts the response without stating an outcome, because the request may already have been sent. */
    private void failInternally(CallerResponse response, RequestTrace trace, RuntimeException fault) {
        dependencies.metrics().countViolation("request " + trace.id(), fault);
        trace.finish(ResultCode.INVARIANT_VIOLATED, String.valueOf(fault));
        response.abort();
    }

    @Override
    public void reject(RawRequest raw, CallerResponse response, ServerState.RejectReason reason) {
        Refused refused =
                switch (reason) {
                    case MALFORMED -> Refused.of(ResultCode.BAD_REQUEST, "malformed HTTP");
                    case BODY_TOO_LARGE ->
                        Refused.of(ResultCode.BODY_TOO_LARGE, "limit " + ServerState.MAX_BODY_BYTES + " bytes");
                    case NO_MEMORY -> Refused.of(ResultCode.QUEUE_FULL, "too many request bodies in memory");
                };
        respond(response, createTrace(raw), refused);
    }

    private void route(RawRequest raw, CallerResponse response, RequestTrace trace) {
        Topology topology = dependencies.executionDependencies().steering().topology();
        Matcher tickets = TICKETS.matcher(raw.uri());
        if (topology == null) {
            respond(response, trace, resultWithoutTable(raw));
        } else if (tickets.matches() && raw.method().equals("POST")) {
            issueTickets(response, trace, tickets.group(1));
        } else {
            forward(raw, response, trace, topology);
        }
    }

    /**
     * Returns the result while there is no table. A request whose ticket names another process ends as unknown, because
     * only that process knows whether the request ran.
     */
    private AttemptResult resultWithoutTable(RawRequest raw) {
        Optional<Ticket> ticket = raw.headers().first(Headers.TICKET).map(Ticket::parse);
        if (ticket.isPresent() && !ticket.get().process().equals(self)) {
            return new Unknown(ResultCode.ENTRY_GONE, "this process has no table yet");
        }
        return Refused.of(ResultCode.NO_TABLE, "");
    }

    private void issueTickets(CallerResponse response, RequestTrace trace, String countText) {
        int count = countText == null ? 1 : Integer.parseInt(countText);
        if (count < 1 || count > MAX_TICKETS) {
            throw new CarawayliftException(ResultCode.BAD_REQUEST, "count " + count + " is not from 1 to 100");
        }
        List<String> tickets = dependencies.atMostOnce().issue(count).stream()
                .map(Ticket::toString)
                .toList();
        HeaderList headers = new HeaderList(List.of(
                new HeaderField("Content-Type", "application/json"),
                new HeaderField("Cache-Control", "no-store"),
                new HeaderField(Headers.CODE, Integer.toString(ResultCode.ANSWERED.number())),
                new HeaderField(Headers.REQUEST_ID, trace.id())));
        response.send(ResultCode.ANSWERED.httpStatus(), headers, OwnResponses.json(new Tickets(tickets)), -1);
    }

    private void forward(RawRequest raw, CallerResponse response, RequestTrace trace, Topology topology) {
        long now = dependencies.executionDependencies().clock().getAsLong();
        InboundRequest request = RequestParser.parse(raw, trace.id(), topology.table(), now);
        trace.setRequest(request);
        String toRegion = dependencies.delivery().regionOf(raw, request.hop());
        PendingRequest pending = new PendingRequest(request, trace, response, toRegion);
        ResultReceiver receiver = result -> dependencies.delivery().deliver(pending, result);
        Optional<String> upstream = raw.headers().first(Headers.UPSTREAM);
        Runnable onDisconnect;
        if (request.hop() > 0 && upstream.isPresent()) {
            onDisconnect = dispatchAsOwner(upstream.get(), request, trace, receiver);
        } else if (request.idempotent()) {
            RequestExecution execution =
                    new RequestExecution(request, dependencies.executionDependencies(), trace, receiver);
            execution.start();
            onDisconnect = execution::cancel;
        } else {
            onDisconnect = runAtMostOnce(request, trace, receiver);
        }
        response.onDisconnect(() -> {
            onDisconnect.run();
            trace.finish(ResultCode.CONNECTION_LOST, "the caller left");
        });
    }

    private Runnable dispatchAsOwner(
            String upstream, InboundRequest request, RequestTrace trace, ResultReceiver receiver) {
        OwnerRoute route = new OwnerRoute(upstream, self);
        QueueWait queueWait = new QueueWait();
        RunningAttempt attempt = dependencies
                .executionDependencies()
                .queueShards()
                .dispatch(upstream, request, result -> {
                    trace.addAttempt(route, queueWait.nanos(), result);
                    receiver.accept(result);
                });
        queueWait.attempt = attempt;
        return attempt::cancel;
    }

    private Runnable runAtMostOnce(InboundRequest request, RequestTrace trace, ResultReceiver receiver) {
        if (request.ticket().isEmpty()) {
            receiver.accept(Refused.of(ResultCode.TICKET_REQUIRED, "header " + Headers.TICKET + " is missing"));
            return () -> {};
        }
        Ticket ticket = Ticket.parse(request.ticket());
        if (ticket.process().equals(self)) {
            return dependencies
                    .atMostOnce()
                    .attempt(
                            ticket,
                            request,
                            receiver,
                            executionReceiver -> new RequestExecution(
                                    request, dependencies.executionDependencies(), trace, executionReceiver));
        }
        boolean unreachable = request.hop() > 0
                || dependencies
                        .executionDependencies()
                        .steering()
                        .topology()
                        .member(ticket.process())
                        .isEmpty();
        if (unreachable) {
            receiver.accept(new Unknown(ResultCode.ENTRY_GONE, "process " + ticket.process() + " is no member"));
            return () -> {};
        }
        return dependencies.forwarder().forward(ticket.process(), request, trace, receiver);
    }

    private RequestTrace createTrace(RawRequest raw) {
        int hop = RequestParser.hop(raw.headers());
        String receivedId = raw.headers().first(Headers.REQUEST_ID).orElse("");
        boolean keepId = hop > 0 && !receivedId.isEmpty() && receivedId.length() <= MAX_ID_LENGTH;
        String id = keepId ? receivedId : newId();
        return new RequestTrace(
                id,
                hop,
                dependencies.log(),
                dependencies.executionDependencies().clock());
    }

    /** Returns a new request id. It starts with the host id, so that operators know which host has the records. */
    private String newId() {
        String number = Long.toString(requestCount.incrementAndGet(), RADIX);
        return String.format(Locale.ROOT, "%s.%s.%s", self.host(), Long.toString(self.incarnation(), RADIX), number);
    }

    private static void respond(CallerResponse response, RequestTrace trace, AttemptResult result) {
        OwnResponses.send(response, trace.id(), result);
        trace.finish(result.code(), result.detail());
    }

    /** Returns the message without code and meaning, which are sent in fields of their own. */
    private static String detail(CarawayliftException exception) {
        String prefix = exception.code().number() + " " + exception.code().meaning() + " ";
        String message = String.valueOf(exception.getMessage());
        return message.startsWith(prefix) ? message.substring(prefix.length()) : message;
    }

    /** Queue wait of an attempt. The attempt is set after its submission, and its result may arrive before that. */
    private static final class QueueWait {
        private volatile RunningAttempt attempt = FinishedAttempt.INSTANCE;

        long nanos() {
            return attempt.waitNanos();
        }
    }
}
