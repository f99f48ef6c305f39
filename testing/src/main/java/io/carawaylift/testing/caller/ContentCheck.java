package io.carawaylift.testing.caller;

import io.carawaylift.model.Headers;
import io.carawaylift.model.ResultCode;
import io.carawaylift.testing.caller.CallResult.Content;
import io.carawaylift.testing.http.PatternContent;
import io.carawaylift.testing.upstream.EchoResponseBody;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import okhttp3.Response;

/** Checks that a response is complete and belongs to its request. */
final class ContentCheck {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int OK = 200;

    private final LoadPart part;
    private final String path;
    private final String uri;
    private final String ticket;
    private final byte[] requestBody;

    /** Creates a check; {@code ticket} is null if the request has none. */
    ContentCheck(LoadPart part, String path, String uri, String ticket, byte[] requestBody) {
        this.part = part;
        this.path = path;
        this.uri = uri;
        this.ticket = ticket;
        this.requestBody = requestBody.clone();
    }

    /**
     * Reads and checks the body.
     *
     * @throws IOException if the connection fails, which does not count as {@link Content#SHORT}
     */
    Content check(Response response) throws IOException {
        if (response.code() != OK) {
            byte[] ignored = response.body().bytes();
            return Content.ERROR_STATUS;
        }
        return part.download() ? checkDownload(response) : checkEcho(response);
    }

    private Content checkDownload(Response response) throws IOException {
        PatternContent expected = new PatternContent(path);
        InputStream body = response.body().byteStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        long position = 0;
        for (int length = body.read(buffer); length >= 0; length = body.read(buffer)) {
            if (!expected.matches(position, buffer, length)) {
                return Content.FOREIGN;
            }
            position += length;
        }
        return position == part.bytes() ? Content.CORRECT : Content.SHORT;
    }

    private Content checkEcho(Response response) throws IOException {
        byte[] body = response.body().bytes();
        Optional<EchoResponseBody> echo = EchoResponseBody.parse(body);
        if (echo.isEmpty()) {
            return body.length < part.bytes() ? Content.SHORT : Content.FOREIGN;
        }
        return matchesRequest(echo.get(), response) ? Content.CORRECT : Content.FOREIGN;
    }

    private boolean matchesRequest(EchoResponseBody echo, Response response) {
        boolean sameRequest = echo.uri().equals(uri)
                && echo.contentBytes() == part.bytes()
                && echo.received().equals(PatternContent.checksum(requestBody));
        boolean sameTicket =
                ticket == null || echo.ticket().isEmpty() || echo.ticket().equals(ticket);
        return sameRequest && sameTicket && hasSameRequestId(echo, response);
    }

    /** A replayed response carries the id of the attempt that ran. Upstreams need not receive request ids. */
    private static boolean hasSameRequestId(EchoResponseBody echo, Response response) {
        String code = response.header(Headers.CODE, "");
        String id = response.header(Headers.REQUEST_ID, "");
        boolean replayed = code.equals(Integer.toString(ResultCode.REPLAYED.number()));
        return replayed || echo.requestId().isEmpty() || echo.requestId().equals(id);
    }
}
