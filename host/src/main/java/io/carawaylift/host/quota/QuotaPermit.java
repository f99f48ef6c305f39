package io.carawaylift.host.quota;

/** A permit for a request of a customer. A request that is refused without having run must give it back. */
public interface QuotaPermit {
    /** A permit of a request that is not limited. */
    QuotaPermit UNLIMITED = new QuotaPermit() {
        @Override
        public boolean isGranted() {
            return true;
        }

        @Override
        public long waitMillis() {
            return 0;
        }

        @Override
        public void sent() {}

        @Override
        public void giveBack() {}
    };

    /** Returns whether the request may run. */
    boolean isGranted();

    /** Returns the milliseconds until a permit is expected, 0 if it is granted. */
    long waitMillis();

    /** Records that the request is sent to an endpoint now. */
    void sent();

    /** Returns the permit of a request that has not run; does nothing if it was not granted. */
    void giveBack();
}
