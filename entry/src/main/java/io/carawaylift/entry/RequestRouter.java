package io.carawaylift.entry;

import io.carawaylift.entry.AnswerDelivery.Exchange;
import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.entry.AttemptResult.Unknown;
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

/** Decides what this process is for a request: issuer of tickets, entry process, ledger or owner. Thread-safe. */
final class RequestRouter implements ServerState.Handlers {
    private static final Pattern TICKETS = Pattern.compile("/tickets(?:\\?count=([0-9]{1,3}))?");
    private static final int MAX_TICKETS = 100;
    private static final int MAX_ID_LENGTH = 200;
    private static final int RADIX = 36;

    private final EntryProcess self;
    private final Parts parts;
    private final AtomicLong requests = new AtomicLong();

    /** What the router hands requests to. */
    record Parts(
            RequestRun.Means means,
            OnceRequests once,
            TicketForwarder forwarder,
            AnswerDelivery delivery,
            DecisionLog log,
            EntryMetrics metrics) {}

    private record Tickets(List<String> tickets) {}

    RequestRouter(EntryProcess self, Parts parts) {
        this.self = self;
        this.parts = parts;
    }

    @Override
    public void handle(RawRequest raw, CallerResponse response) {
        RequestTrace trace = trace(raw);
        try {
            route(raw, response, trace);
        } catch (CarawayliftException e) {
            if (e.code() == ResultCode.INVARIANT_VIOLATED) {
                fault(response, trace, e);
            } else {
                finish(response, trace, Refused.of(e.code(), detail(e)));
            }
        } catch (RuntimeException e) {
            fault(response, trace, e);
        }
    }

    /** The fault may have come after the request was sent, so nothing is said about its outcome. */
    private void fault(CallerResponse response, RequestTrace trace, RuntimeException fault) {
        parts.metrics().violation("request " + trace.id(), fault);
        trace.finish(ResultCode.INVARIANT_VIOLATED, String.valueOf(fault));
        response.abort();
    }

    @Override
    public void refuse(RawRequest raw, CallerResponse response, ServerState.Fault fault) {
        Refused refused =
                switch (fault) {
                    case MALFORMED -> Refused.of(ResultCode.BAD_REQUEST, "malformed HTTP");
                    case BODY_TOO_LARGE ->
                        Refused.of(ResultCode.BODY_TOO_LARGE, "limit " + ServerState.MAX_BODY_BYTES + " bytes");
                    case NO_MEMORY -> Refused.of(ResultCode.QUEUE_FULL, "too many request bodies in memory");
                };
        finish(response, trace(raw), refused);
    }

    private void route(RawRequest raw, CallerResponse response, RequestTrace trace) {
        Topology topology = parts.means().steering().topology();
        Matcher tickets = TICKETS.matcher(raw.uri());
        if (topology == null) {
            finish(response, trace, withoutTable(raw));
        } else if (tickets.matches() && raw.method().equals("POST")) {
            issue(response, trace, tickets.group(1));
        } else {
            forward(raw, response, trace, topology);
        }
    }

    /** The process that the ticket names may have run the request, so only that process can say that it did not. */
    private AttemptResult withoutTable(RawRequest raw) {
        Optional<Ticket> ticket = raw.headers().first(Headers.TICKET).map(Ticket::parse);
        if (ticket.isPresent() && !ticket.get().process().equals(self)) {
            return new Unknown(ResultCode.ENTRY_GONE, "this process has no table yet");
        }
        return Refused.of(ResultCode.NO_TABLE, "");
    }

    private void issue(CallerResponse response, RequestTrace trace, String countText) {
        int count = countText == null ? 1 : Integer.parseInt(countText);
        if (count < 1 || count > MAX_TICKETS) {
            throw new CarawayliftException(ResultCode.BAD_REQUEST, "count " + count + " is not from 1 to 100");
        }
        List<String> tickets =
                parts.once().issue(count).stream().map(Ticket::toString).toList();
        HeaderList headers = new HeaderList(List.of(
                new HeaderField("Content-Type", "application/json"),
                new HeaderField("Cache-Control", "no-store"),
                new HeaderField(Headers.CODE, Integer.toString(ResultCode.ANSWERED.number())),
                new HeaderField(Headers.REQUEST_ID, trace.id())));
        response.send(ResultCode.ANSWERED.httpStatus(), headers, OwnAnswers.json(new Tickets(tickets)), -1);
    }

    private void forward(RawRequest raw, CallerResponse response, RequestTrace trace, Topology topology) {
        long now = parts.means().clock().getAsLong();
        InboundRequest request = RequestReader.read(raw, trace.id(), topology.table(), now);
        trace.describe(request);
        String toRegion = parts.delivery().regionOf(raw, request.hop());
        Exchange exchange = new Exchange(request, trace, response, toRegion);
        ResultReceiver receiver = result -> parts.delivery().deliver(exchange, result);
        Optional<String> upstream = raw.headers().first(Headers.UPSTREAM);
        Runnable onLeft;
        if (request.hop() > 0 && upstream.isPresent()) {
            onLeft = asOwner(upstream.get(), request, trace, receiver);
        } else if (request.repeatable()) {
            RequestRun run = new RequestRun(request, parts.means(), trace, receiver);
            run.start();
            onLeft = run::cancel;
        } else {
            onLeft = onceOnly(request, trace, receiver);
        }
        response.onLeft(() -> {
            onLeft.run();
            trace.finish(ResultCode.CONNECTION_LOST, "the caller left");
        });
    }

    private Runnable asOwner(String upstream, InboundRequest request, RequestTrace trace, ResultReceiver receiver) {
        Route route = new Route(upstream, self);
        Waited waited = new Waited();
        RunningAttempt attempt = parts.means().shards().dispatch(upstream, request, result -> {
            trace.attempt(route, waited.nanos(), result);
            receiver.accept(result);
        });
        waited.attempt = attempt;
        return attempt::cancel;
    }

    private Runnable onceOnly(InboundRequest request, RequestTrace trace, ResultReceiver receiver) {
        if (request.ticket().isEmpty()) {
            receiver.accept(Refused.of(ResultCode.TICKET_REQUIRED, "header " + Headers.TICKET + " is missing"));
            return () -> {};
        }
        Ticket ticket = Ticket.parse(request.ticket());
        if (ticket.process().equals(self)) {
            return parts.once()
                    .attempt(ticket, request, receiver, runs -> new RequestRun(request, parts.means(), trace, runs));
        }
        boolean gone = request.hop() > 0
                || parts.means().steering().topology().member(ticket.process()).isEmpty();
        if (gone) {
            receiver.accept(new Unknown(ResultCode.ENTRY_GONE, "process " + ticket.process() + " is no member"));
            return () -> {};
        }
        return parts.forwarder().forward(ticket.process(), request, trace, receiver);
    }

    private RequestTrace trace(RawRequest raw) {
        int hop = RequestReader.hop(raw.headers());
        String given = raw.headers().first(Headers.REQUEST_ID).orElse("");
        boolean keep = hop > 0 && !given.isEmpty() && given.length() <= MAX_ID_LENGTH;
        String id = keep ? given : newId();
        return new RequestTrace(id, hop, parts.log(), parts.means().clock());
    }

    /** Ids start with the host id, so that an operator knows which host to ask. */
    private String newId() {
        String number = Long.toString(requests.incrementAndGet(), RADIX);
        return String.format(Locale.ROOT, "%s.%s.%s", self.host(), Long.toString(self.incarnation(), RADIX), number);
    }

    private static void finish(CallerResponse response, RequestTrace trace, AttemptResult result) {
        OwnAnswers.send(response, trace.id(), result);
        trace.finish(result.code(), result.detail());
    }

    /** Returns the message without code and meaning, which are sent separately. */
    private static String detail(CarawayliftException exception) {
        String prefix = exception.code().number() + " " + exception.code().meaning() + " ";
        String message = String.valueOf(exception.getMessage());
        return message.startsWith(prefix) ? message.substring(prefix.length()) : message;
    }

    /** Wait of an attempt that is known only after it was submitted. */
    private static final class Waited {
        private volatile RunningAttempt attempt = NoAttempt.INSTANCE;

        long nanos() {
            return attempt.waitNanos();
        }
    }
}
