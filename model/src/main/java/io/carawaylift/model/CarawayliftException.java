package io.carawaylift.model;

import java.util.Objects;

/** Failure with a {@link ResultCode}. Most futures of carawaylift fail with it. */
public class CarawayliftException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;

    /** Creates a failure without a cause; {@code detail} names the offending value. */
    public CarawayliftException(ResultCode code, String detail) {
        this(code, detail, null);
    }

    /** Creates a failure with a cause, which may be null; {@code detail} names the offending value. */
    public CarawayliftException(ResultCode code, String detail, Throwable cause) {
        super(code.number() + " " + code.meaning() + " " + detail, cause);
        this.code = Objects.requireNonNull(code, "code");
    }

    /** Returns the result code. */
    public final ResultCode code() {
        return code;
    }
}
