package io.carawaylift.host;

import io.carawaylift.decisions.currency.CallChain;
import io.carawaylift.decisions.replica.StorePosition;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.ObjectStoreClient.ListMode;
import io.carawaylift.platform.store.StoreItem;
import io.carawaylift.platform.store.StorePage;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Reads all objects of one kind, page by page. Used on the event loop only. */
final class KindLister {
    /** Stands for an unknown revision of a page; lower than any revision. */
    private static final long NO_REVISION = 0;

    /** Stands for the pages before the first one. */
    private static final StorePosition ANY_PAGE = new StorePosition(0, Long.MAX_VALUE);

    private final String kind;
    private final ObjectStoreClient store;
    private final CallSequence calls;
    private final CallChain chain;
    private final Listener listener;

    /** Receives the list or why there is none. */
    interface Listener {
        /**
         * Called when all pages were read.
         *
         * @param position position that no page is older than; changes after it have to be watched
         * @param sentNanos when the first page was requested
         */
        void listed(ListMode mode, List<StoreItem> items, StorePosition position, long sentNanos);

        /** Called after each page. */
        void pageRead();

        /** Called if a page could not be read. */
        void failed(Throwable failure);
    }

    KindLister(String kind, ObjectStoreClient store, CallSequence calls, CallChain chain, Listener listener) {
        this.kind = kind;
        this.store = store;
        this.calls = calls;
        this.chain = chain;
        this.listener = listener;
    }

    /** Starts to read all objects. A list that may be old is read again if its age is unknown. */
    void list(ListMode mode, Duration allowance) {
        page(mode, allowance, "", ANY_PAGE, System.nanoTime(), new ArrayList<>());
    }

    private void page(
            ListMode mode,
            Duration allowance,
            String after,
            StorePosition earlier,
            long firstSentNanos,
            List<StoreItem> items) {
        chain.sent(System.nanoTime(), Duration.ZERO);
        Consumer<StorePage> read = page -> {
            listener.pageRead();
            // The watch starts at the revision of the oldest page, so that changes made between two pages are not
            // missed.
            long era = page.position().era();
            boolean restoredMeanwhile = !earlier.equals(ANY_PAGE) && earlier.era() != era;
            StorePosition position = new StorePosition(era, Math.min(earlier.revision(), revisionOf(page, mode)));
            items.addAll(page.items());
            if (position.revision() == NO_REVISION || restoredMeanwhile) {
                list(ListMode.LATEST, allowance);
            } else if (page.hasNextPage() && !page.items().isEmpty()) {
                page(mode, allowance, items.get(items.size() - 1).name(), position, firstSentNanos, items);
            } else {
                listener.listed(mode, items, position, firstSentNanos);
            }
        };
        calls.await(store.list(kind, after, mode), allowance, (page, failure) -> {
            if (failure == null) {
                read.accept(page);
            } else {
                listener.failed(failure);
            }
        });
    }

    /**
     * Returns a revision that a page is not older than. A page that may be old states the current revision of the
     * store, so only its objects show how old it may be.
     */
    private static long revisionOf(StorePage page, ListMode mode) {
        if (mode == ListMode.LATEST) {
            return page.revision();
        }
        return page.items().stream().mapToLong(StoreItem::revision).max().orElse(NO_REVISION);
    }
}
