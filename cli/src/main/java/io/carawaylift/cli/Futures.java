package io.carawaylift.cli;

import io.carawaylift.model.CarawayliftException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Waits for futures; the command has a single thread and nothing else to do meanwhile. */
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
