package io.carawaylift.cli;

import io.carawaylift.model.CarawayliftException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Blocks on futures, which is acceptable because a command has a single thread and no other work. */
final class Futures {
    private Futures() {}

    /** Returns the future's value, or throws the {@link CarawayliftException} with which it failed. */
    static <T> T await(CompletableFuture<T> future) {
        try {
            return future.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof CarawayliftException failure) {
                throw failure;
            }
            throw e;
        }
    }
}
