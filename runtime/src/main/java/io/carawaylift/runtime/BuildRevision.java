package io.carawaylift.runtime;

import java.util.Optional;

/** The revision of the sources from which a program was built. */
public final class BuildRevision {
    private static final String UNKNOWN = "unknown";

    private BuildRevision() {}

    /**
     * Returns the revision that the build wrote to the manifest of the archive with the class: a commit, a commit and a
     * digest of changed sources, or a digest alone. Returns {@code unknown} if the class is not in an archive of
     * {@code deploy/build}. Thread-safe.
     */
    public static String of(Class<?> program) {
        return Optional.ofNullable(program.getPackage().getImplementationVersion())
                .orElse(UNKNOWN);
    }
}
